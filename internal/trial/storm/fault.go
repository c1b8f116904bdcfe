package storm

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

// busy holds the hosts whose process is being restarted or paused, so that signals to one process do not overlap.
var busy sync.Map

// fault starts one fault, which ends by itself.
func (s *Storm) fault(ctx context.Context) {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	p := s.site.pick(s.rand.IntN(1000))
	span := time.Duration(300+s.rand.IntN(2200)) * time.Millisecond
	faults := []func(){
		func() { s.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, span/4) }) },
		func() { s.onHost(h, "terminate", func() { h.restart(ctx, syscall.SIGTERM, span/4) }) },
		func() { s.onHost(h, "pause", func() { s.pause(ctx, h, span) }) },
		func() { s.during(ctx, "store refuses", span, s.site.shelf.SetDown) },
		func() { s.say("store forgets"); s.site.shelf.Forget() },
		func() { s.cut(ctx, "store of "+h.name, &h.store, span) },
		func() { s.cut(ctx, p.part.ID+" of "+p.part.Service, &p.link, span) },
		func() { s.say("reset %s", p.part.ID); p.link.Reset() },
		func() { s.crash(ctx, p, span) },
		func() { s.release(ctx, p) },
		func() { s.during(ctx, p.part.ID+" slow", span, func(on bool) { p.part.SetSlow(pick(on, 15, 1)) }) },
		func() { s.during(ctx, p.part.ID+" sheds", span, func(on bool) { p.part.SetShed(pick(on, 3, 0)) }) },
		func() { s.during(ctx, p.part.ID+" mute", span, p.part.SetMute) },
		func() { s.say("configuration"); s.site.publish() },
		func() { s.hangUp(h, s.rand.IntN(3)) },
	}
	faults[s.rand.IntN(len(faults))]()
}

func pick(on bool, yes, no int64) int64 {
	if on {
		return yes
	}
	return no
}

// onHost does something to a host's process unless something else is being done to it.
func (s *Storm) onHost(h *host, what string, do func()) {
	if _, taken := busy.LoadOrStore(h, true); taken {
		return
	}
	s.say("%s %s", what, h.name)
	go func() {
		defer busy.Delete(h)
		do()
	}()
}

func (s *Storm) pause(ctx context.Context, h *host, span time.Duration) {
	h.harmed.Store(time.Now().UnixNano())
	h.signal(syscall.SIGSTOP)
	sleep(ctx, span)
	h.harmed.Store(time.Now().UnixNano())
	h.signal(syscall.SIGCONT)
}

// hangUp tells a host to read its settings again, which may be cut short or be gone.
func (s *Storm) hangUp(h *host, how int) {
	s.onHost(h, "hang up", func() {
		whole, err := os.ReadFile(h.settings)
		if err != nil {
			return
		}
		switch how {
		case 0:
			_ = os.WriteFile(h.settings, whole[:len(whole)/2], 0o600) // the host has to go on as before
		case 1:
			_ = os.Remove(h.settings)
		}
		h.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		if err := os.WriteFile(h.settings, whole, 0o600); err != nil {
			s.log.violate("the settings of " + h.name + " can't be written: " + err.Error())
		}
	})
}

// during switches something on for a span.
func (s *Storm) during(ctx context.Context, what string, span time.Duration, set func(on bool)) {
	s.say("%s for %v", what, span)
	set(true)
	go func() {
		sleep(ctx, span)
		set(false)
	}()
}

// cut harms a link in one of four ways.
func (s *Storm) cut(ctx context.Context, what string, l *link.Link, span time.Duration) {
	f := []link.Faults{
		{Cut: link.CutThere}, {Cut: link.CutBack}, {Cut: link.CutBoth}, {Cut: link.CutNone, DelayMs: yuccahinge.Millis(60)},
	}[s.rand.IntN(4)]
	s.during(ctx, "link to "+what, span, func(on bool) {
		if !on {
			f = link.Faults{Cut: link.CutNone}
		}
		l.Fault(f)
	})
}

// crash ends a searcher without a word; another one comes later.
func (s *Storm) crash(ctx context.Context, p *searcher, span time.Duration) {
	s.say("crash %s of %s", p.part.ID, p.part.Service)
	p.leaving.Store(true)
	p.stop()
	go func() {
		sleep(ctx, span)
		s.site.end(p)
		_, _ = s.site.add(ctx, p.part.Service, p.domain) // without it the end of the storm finds a shard missing
	}()
}

// release replaces a searcher: the new one starts first, the old one drains.
func (s *Storm) release(ctx context.Context, p *searcher) {
	s.say("release %s of %s", p.part.ID, p.part.Service)
	if _, err := s.site.add(ctx, p.part.Service, p.domain); err != nil {
		return
	}
	p.leaving.Store(true)
	go func() {
		sleep(ctx, drainTime+time.Second)
		s.site.end(p)
	}()
}

// heal ends all faults and waits for the processes that are being restarted.
func (s *Storm) heal() {
	s.say("heal")
	s.site.heal()
	for _, h := range s.hosts {
		h.store.Fault(link.Faults{Cut: link.CutNone})
		h.store.Reset()
	}
	for _, h := range s.hosts {
		for _, taken := busy.Load(h); taken; _, taken = busy.Load(h) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.site.heal()
}
