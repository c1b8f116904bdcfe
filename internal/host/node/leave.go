package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// leastGrace stands for a grace of zero, for which the drain would take its default.
const leastGrace = yuccahinge.Millis(1)

// departure is the host's own drain as other goroutines see it.
type departure struct {
	phase atomic.Value // drain.Phase
}

func (d *departure) now() drain.Phase {
	if p, ok := d.phase.Load().(drain.Phase); ok {
		return p
	}
	return drain.Serving
}

// drain takes the host from serving to done and cuts nothing in flight before the deadline.
func (n *Node) drain(ctx context.Context) {
	s := n.current.Load().Drain
	d := drain.Drain{Grace: max(s.GraceMs, leastGrace), Limit: s.DeadlineMs}
	start := n.clock.Now()
	d.Start(start)
	for {
		phase := d.Step(n.clock.Now(), n.busy())
		if phase != n.leave.now() {
			n.enter(ctx, phase)
		}
		if phase == drain.Done {
			break
		}
		if next, ok := d.Next(n.clock.Now()); ok {
			sleep(ctx, (next - n.clock.Now()).Duration())
		}
	}
	// A request may have arrived on an open connection since the last step.
	left := start + s.DeadlineMs - n.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(0, left).Duration())
	defer cancel()
	// An error only says that the deadline has passed; what is cut then, work for other hosts included, is counted.
	_ = ports.Finish(ctx, n.parts.callers)
	if cut := max(d.Cut(), n.busy()); cut > 0 {
		n.record(event.DrainCut, fmt.Sprintf("%d in flight", cut))
	}
}

// busy counts all work that the drain waits for.
func (n *Node) busy() int {
	return n.parts.front.InFlight() + n.parts.desk.Running()
}

func (n *Node) enter(ctx context.Context, phase drain.Phase) {
	n.leave.phase.Store(phase)
	n.record(event.ProcessDraining, string(phase))
	switch phase {
	case drain.Announced:
		// Peers that can't be reached must not hold up the drain.
		go n.parts.keeper.Leave(ctx)
	case drain.Closing:
		n.parts.desk.Seal()
		// Open connections stay: a caller may have written a request on one that looks idle. The front asks
		// callers to close them with each answer.
		_ = n.ports.callers.Close()
	}
}

// leaving reports whether the drain has begun.
func (n *Node) leaving() bool { return n.leave.now() != drain.Serving }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
