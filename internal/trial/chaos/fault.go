package chaos

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

// busyHosts holds the hosts whose process is being restarted, paused or reloaded, so that the faults of one process do
// not overlap.
var busyHosts sync.Map

// injectFault starts one random fault. It returns at once; the fault ends after a random time.
func (x *Experiment) injectFault(ctx context.Context) {
	h := x.hosts[x.rand.IntN(len(x.hosts))]
	s := x.env.pickSearcher(x.rand.IntN(1000))
	span := time.Duration(300+x.rand.IntN(2200)) * time.Millisecond
	faults := []func(){
		func() { x.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, span/4) }) },
		func() { x.onHost(h, "terminate", func() { x.terminate(ctx, h, span/4) }) },
		func() { x.onHost(h, "pause", func() { x.pauseHost(ctx, h, span) }) },
		func() { x.enableFor(ctx, "store refuses requests", span, x.env.store.SetDown) },
		func() { x.logf("store drops its history"); x.env.store.Compact() },
		func() { x.disruptLink(ctx, "store of "+h.name, &h.platformLink, span) },
		func() {
			s.disruptions.add(span)
			x.disruptLink(ctx, s.server.ID+" of "+s.server.Service, &s.link, span)
		},
		func() { x.logf("reset %s", s.server.ID); s.closeConns() },
		func() { x.crashSearcher(ctx, s, span) },
		func() { x.replaceSearcher(ctx, s) },
		func() { x.leaveOddEntry(ctx, s) },
		func() {
			x.enableFor(ctx, s.server.ID+" slow", span, func(on bool) { s.server.SetSlowFactor(valueIf(on, 15, 1)) })
		},
		func() {
			x.enableFor(ctx, s.server.ID+" sheds", span, func(on bool) { s.server.SetShedEvery(valueIf(on, 3, 0)) })
		},
		func() { x.enableFor(ctx, s.server.ID+" does not reply", span, s.server.SetNoReply) },
		func() {
			x.enableFor(ctx, s.server.ID+" cuts responses", span, func(on bool) { s.server.SetCutEvery(valueIf(on, 2, 0)) })
		},
		func() { x.limitSearcher(ctx, s) },
		func() { x.limitSearcher(ctx, s) },
		func() { x.leaveInAnswers(ctx, s, span) },
		func() { x.turnAway(ctx, s, span) },
		func() { x.logf("configuration"); x.publishAndRecord() },
		func() { x.reloadSettings(h, x.rand.IntN(3)) },
	}
	if x.OnlyPlanned {
		faults = []func(){
			func() { x.onHost(h, "terminate", func() { x.terminate(ctx, h, span/4) }) },
			func() { x.logf("configuration"); x.publishAndRecord() },
			func() { x.reloadSettings(h, x.rand.IntN(3)) },
		}
	}
	faults[x.rand.IntN(len(faults))]()
}

func valueIf(cond bool, then, otherwise int64) int64 {
	if cond {
		return then
	}
	return otherwise
}

// onHost runs do in the background, unless an earlier do for the same host is still running.
func (x *Experiment) onHost(h *host, what string, do func()) {
	if _, isBusy := busyHosts.LoadOrStore(h, true); isBusy {
		return
	}
	x.logf("%s %s", what, h.name)
	go func() {
		defer busyHosts.Delete(h)
		do()
	}()
}

func (x *Experiment) pauseHost(ctx context.Context, h *host, span time.Duration) {
	h.disrupt()
	h.signal(syscall.SIGSTOP)
	sleep(ctx, span)
	h.disrupt()
	h.signal(syscall.SIGCONT)
}

// reloadSettings sends SIGHUP to a host while its settings file is truncated (how is 0), missing (1) or intact, and then
// restores the file.
func (x *Experiment) reloadSettings(h *host, how int) {
	x.onHost(h, "reload settings of", func() {
		settings, err := os.ReadFile(h.settingsFile)
		if err != nil {
			return
		}
		switch how {
		case 0:
			_ = os.WriteFile(h.settingsFile, settings[:len(settings)/2], 0o600) // the host must keep its settings in force
		case 1:
			_ = os.Remove(h.settingsFile)
		}
		h.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		if err := os.WriteFile(h.settingsFile, settings, 0o600); err != nil {
			x.checker.addViolation("restoring the settings file of " + h.name + ": " + err.Error())
		}
	})
}

// enableFor calls set(true), and set(false) after the span. It does not block.
func (x *Experiment) enableFor(ctx context.Context, what string, span time.Duration, set func(on bool)) {
	x.logf("%s for %v", what, span)
	set(true)
	go func() {
		sleep(ctx, span)
		set(false)
	}()
}

// disruptLink cuts a link in one or both directions or delays its bytes, and ends that fault after the span.
func (x *Experiment) disruptLink(ctx context.Context, what string, l *link.Link, span time.Duration) {
	f := []link.Faults{
		{Cut: link.CutToTarget}, {Cut: link.CutFromTarget}, {Cut: link.CutBoth}, {Cut: link.CutNone, DelayMs: yuccahinge.Millis(60)},
	}[x.rand.IntN(4)]
	x.enableFor(ctx, "link to "+what, span, func(on bool) {
		if !on {
			f = link.Faults{Cut: link.CutNone}
		}
		x.linksDisrupted.Store(l, time.Now())
		l.SetFaults(f)
	})
}

// limitSearcher lets a searcher name a maximum rate, for long enough that the requests to it are checked, and change or
// misspell it meanwhile in some cases.
func (x *Experiment) limitSearcher(ctx context.Context, s *searcher) {
	rate := []string{"0", "0.5", "3", "12", "40"}[x.rand.IntN(5)]
	next := []string{rate, rate, "25", "1", "-1", "NaN", ""}[x.rand.IntN(7)]
	first := contactTime + time.Duration(x.rand.IntN(4000))*time.Millisecond
	second := time.Duration(x.rand.IntN(9000)) * time.Millisecond
	x.logf("%s of %s names a maximum rate of %s for %v, then %q for %v", s.server.ID, s.server.Service, rate, first, next, second)
	s.setMaxRate(rate)
	go func() {
		sleep(ctx, first)
		if x.isHealed.Load() {
			return
		}
		s.setMaxRate(next)
		sleep(ctx, second)
		s.setMaxRate("")
	}()
}

// crashSearcher stops a searcher at once, without a drain period. A new searcher replaces it after the span.
func (x *Experiment) crashSearcher(ctx context.Context, s *searcher, span time.Duration) {
	x.logf("crash %s of %s", s.server.ID, s.server.Service)
	s.crashed.Store(true)
	s.draining.Store(true)
	s.stop()
	s.disruptions.addForever()
	go func() {
		sleep(ctx, span)
		x.env.removeSearcher(s)
		// If this fails, the check at the end of the run reports missing coverage.
		_, _ = x.env.startSearcher(ctx, s.server.Service, s.domain)
	}()
}

// replaceSearcher starts a new searcher and then drains and removes the old one.
func (x *Experiment) replaceSearcher(ctx context.Context, s *searcher) {
	x.logf("replace %s of %s", s.server.ID, s.server.Service)
	if _, err := x.env.startSearcher(ctx, s.server.Service, s.domain); err != nil {
		return
	}
	s.draining.Store(true)
	s.server.SetLeaving(true)
	go func() {
		sleep(ctx, drainTime+time.Second)
		x.env.removeSearcher(s)
	}()
}

// clearFaults ends all faults and waits for the processes that are being restarted, paused or reloaded.
func (x *Experiment) clearFaults() {
	x.logf("heal")
	x.isHealed.Store(true)
	x.env.clearFaults()
	for _, h := range x.hosts {
		h.platformLink.SetFaults(link.Faults{Cut: link.CutNone})
		h.platformLink.CloseConns()
	}
	for _, h := range x.hosts {
		for _, isBusy := busyHosts.Load(h); isBusy; _, isBusy = busyHosts.Load(h) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	x.env.clearFaults()
}
