package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// minGrace replaces a grace period of zero, which drain.Drain would take as its default.
const minGrace = yuccahinge.Millis(1)

// drainState is the phase of the host's drain, for other goroutines.
type drainState struct {
	phase atomic.Value // drain.Phase
}

func (d *drainState) current() drain.Phase {
	if p, ok := d.phase.Load().(drain.Phase); ok {
		return p
	}
	return drain.Serving
}

// drain runs the graceful shutdown. It takes only requests and charges that end before the deadline, and answers those that
// are still in flight shortly before it.
func (n *Node) drain(ctx context.Context) {
	s := n.current.Load().Drain
	d := drain.Drain{Grace: max(s.GraceMs, minGrace), Timeout: s.DeadlineMs}
	start := n.clock.Now()
	d.Start(start)
	n.flights.SetLatestEnd(d.LatestEnd())
	cut := time.AfterFunc((d.LatestEnd() - start).Duration(), n.cutRequests)
	defer cut.Stop()
	for {
		phase := d.Step(n.clock.Now(), n.countInFlight())
		if phase != n.drainState.current() {
			n.enterPhase(ctx, phase)
		}
		if phase == drain.Done {
			break
		}
		if next, ok := d.Next(n.clock.Now()); ok {
			sleep(ctx, (next - n.clock.Now()).Duration())
		}
	}
	// Requests that arrived on an open connection since the last step are answered within the rest of the deadline.
	left := start + s.DeadlineMs - n.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(0, left).Duration())
	defer cancel()
	// The only error is that the deadline has passed; the work that this cuts off, also for other hosts, is counted below.
	_ = ports.Shutdown(ctx, n.parts.callers, &n.parts.callerConns)
	if refused := n.flights.Refused(); refused > 0 {
		n.record(event.DrainRefused, fmt.Sprintf("%d requests and charges might have ended after the drain", refused))
	}
	if cut := n.countInFlight(); cut > 0 {
		n.record(event.DrainCut, fmt.Sprintf("%d in flight, without an answer", cut))
	}
}

// cutRequests ends the requests and charges in flight, so that their callers get an answer before the process ends.
func (n *Node) cutRequests() {
	if cut := n.flights.Cancel(); len(cut) > 0 {
		n.record(event.DrainCut, flight.Describe(n.clock.Now(), cut))
	}
}

// countInFlight returns the number of requests and charges that the drain waits for.
func (n *Node) countInFlight() int {
	return n.parts.entry.InFlight() + n.parts.charges.InFlight()
}

func (n *Node) enterPhase(ctx context.Context, phase drain.Phase) {
	n.drainState.phase.Store(phase)
	n.record(event.ProcessDraining, string(phase))
	switch phase {
	case drain.Announced:
		// Runs apart from the drain, so that unreachable peers don't delay it.
		go n.parts.syncer.Leave(ctx)
	case drain.Closing:
		n.parts.charges.Seal()
		// Open connections stay open: a caller may have sent a request on one that looks idle. Each response
		// asks the caller to close its connection.
		_ = n.ports.callers.Close()
	}
}

// isDraining reports whether the drain has started.
func (n *Node) isDraining() bool { return n.drainState.current() != drain.Serving }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
