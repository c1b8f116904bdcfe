package chaos

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// applyTime is how long hosts may take to apply a configuration, and to stop sending requests to a searcher that the store
	// lists as leaving.
	applyTime = 3 * time.Second
	// leaseTime is the time without a heartbeat after which the store drops the entry of a searcher.
	leaseTime = 3 * heartbeatInterval
	// The copy from which the store comes back is between minCopyAge and maxCopyAge old when the store goes away.
	minCopyAge = 3 * time.Second
	maxCopyAge = 15 * time.Second
)

// restoreStore lets the store lose some seconds of writes and come back, and the operator write again once the hosts are in touch with
// it. In some rounds hosts are killed while it is away.
func (x *Experiment) restoreStore(ctx context.Context) {
	saved := x.env.store.Copy()
	age := x.between(minCopyAge, maxCopyAge)
	x.logf("the store is copied, %v before it goes away", age)
	x.writeSome(ctx, age)
	away := x.between(time.Second, 2500*time.Millisecond)
	x.logf("the store is away for %v and comes back from the copy", away)
	x.env.storeDisruptions.add(away)
	x.env.store.SetDown(true)
	for i := range x.rand.IntN(3) {
		h := x.hosts[(x.rand.IntN(len(x.hosts))+i)%len(x.hosts)]
		x.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, 0) })
	}
	sleep(ctx, away)
	x.env.store.Restore(saved)
	x.env.store.SetDown(false)
	sleep(ctx, leaseTime)
	x.env.dropSilentEntries()
	sleep(ctx, contactTime+x.between(0, time.Second))
	x.logf("configuration")
	x.publishAndRecord()
	x.leaveInStore(ctx)
	sleep(ctx, applyTime+drainTime)
}

// writeSome writes configurations and replaces and adds searchers, for a time.
func (x *Experiment) writeSome(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		switch x.rand.IntN(3) {
		case 0:
			x.logf("configuration")
			x.publishAndRecord()
		case 1:
			x.leaveInStore(ctx)
		}
		sleep(ctx, min(x.between(300*time.Millisecond, 1500*time.Millisecond), time.Until(end)))
	}
}

// publication is a configuration and when the store had acknowledged it.
type publication struct {
	version int64
	at      time.Time
}

// publishAndRecord writes the next configuration.
func (x *Experiment) publishAndRecord() {
	x.env.publishConfig()
	x.publishedMu.Lock()
	defer x.publishedMu.Unlock()
	x.published = append(x.published, publication{x.env.version.Load(), time.Now()})
}

// leaveInStore starts a new searcher in place of one that announces its end in the store only and goes on for a while.
func (x *Experiment) leaveInStore(ctx context.Context) {
	s := x.env.pickSearcher(x.rand.IntN(1000))
	if s.draining.Load() {
		return
	}
	x.logf("replace %s of %s", s.server.ID, s.server.Service)
	if _, err := x.env.startSearcher(ctx, s.server.Service, s.domain); err != nil {
		return
	}
	x.env.mu.Lock()
	s.draining.Store(true)
	x.env.register(s)
	s.leavingSince = time.Now()
	x.env.mu.Unlock()
	go func() {
		sleep(ctx, applyTime+2*time.Second)
		x.env.removeSearcher(s)
	}()
}

// dropSilentEntries removes the entries of searchers that no longer write, which a copy of the store may hold.
func (e *environment) dropSilentEntries() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.removed {
		e.store.DeleteSearcher(s.server.ID)
	}
}

// inTouch reports whether the host and the store were not disrupted for contactTime before an instant.
func (x *Experiment) inTouch(h *host, at time.Time) bool {
	from := at.Add(-contactTime)
	_, cut := x.linksDisrupted.Load(&h.platformLink)
	return !cut && !h.disruptions.overlap(from, at) && !x.env.storeDisruptions.overlap(from, at)
}

// inForceViolation returns how an answer on the read route, sent at an instant, shows that its host used a configuration older
// than the newest one acknowledged applyTime before; empty if it does not.
func (x *Experiment) inForceViolation(h *host, sent time.Time, service string) string {
	x.publishedMu.Lock()
	var need int64
	for _, p := range x.published {
		if p.at.Add(applyTime).Before(sent) {
			need = p.version
		}
	}
	x.publishedMu.Unlock()
	newest := x.env.version.Load()
	if need == 0 || newest-need >= readServices-1 || !x.inTouch(h, sent) {
		return ""
	}
	for v := need; v <= newest; v++ {
		if readService(v) == service {
			return ""
		}
	}
	return fmt.Sprintf("ran at service %s, while configuration %d was acknowledged over %v before", service, need, applyTime)
}

// checkLeaving reports the searchers that got requests later than applyTime after the store had acknowledged that they leave,
// from hosts in touch.
func (x *Experiment) checkLeaving() {
	x.env.mu.Lock()
	defer x.env.mu.Unlock()
	for _, s := range append(x.env.removed, x.env.searchers...) {
		if s.leavingSince.IsZero() {
			continue
		}
		late := 0
		for _, a := range s.server.Requests() {
			if a.At.After(s.leavingSince.Add(applyTime)) && x.allInTouch(a.At) {
				late++
			}
		}
		if late > 0 {
			x.checker.addViolation(fmt.Sprintf("searcher %s of %s got %d requests over %v after the store had acknowledged that it leaves", s.server.ID, s.server.Service, late, applyTime))
		}
	}
}

// allInTouch reports whether all hosts were in touch at an instant. Which of them sent a part of a wide request is not known.
func (x *Experiment) allInTouch(at time.Time) bool {
	for _, h := range x.hosts {
		if !x.inTouch(h, at) {
			return false
		}
	}
	return true
}
