package gate

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// departure is the host's own drain as other goroutines see it.
type departure struct {
	leaving atomic.Bool
	// ended says that the host takes no request any more.
	ended atomic.Bool
}

// endedAgain is when a caller may come back whose request crossed the end of the host, in seconds. The balancer takes it
// to another one.
const endedAgain = "0.010"

func (d *departure) begun() bool { return d.leaving.Load() }

// inFlight counts requests from their arrival to the end of their answer.
type inFlight struct {
	n atomic.Int64
}

// wrap counts the requests of a handler, and asks callers to close their connections once the host is leaving.
func (g *Gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.n.Add(1)
		defer g.inFlight.n.Add(-1)
		if g.leave.ended.Load() {
			// Its connection may be closed already, so that nothing is run for it.
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", endedAgain)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if g.leave.begun() || g.unserving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain takes the host from serving to done and cuts nothing in flight before the deadline.
func (g *Gate) drain(ctx context.Context) {
	s := g.current.Load().Drain
	d := drain.Drain{Grace: s.GraceMs, Limit: s.DeadlineMs}
	start := g.clock.Now()
	d.Start(start)
	g.leave.leaving.Store(true)
	g.record(event.ProcessDraining, string(drain.Announced))
	// Peers that can't be reached must not hold up the drain.
	go g.parts.keeper.Leave(ctx)
	closing := false
	for {
		phase := d.Step(g.clock.Now(), g.busy())
		if phase == drain.Done {
			break
		}
		if phase == drain.Closing && !closing {
			closing = true
			g.record(event.ProcessDraining, string(phase))
			// Open connections stay: a caller may have written a request on one that looks idle.
			_ = g.ports.callers.Close()
		}
		if next, ok := d.Next(g.clock.Now()); ok {
			sleep(ctx, (next - g.clock.Now()).Duration())
		}
	}
	g.leave.ended.Store(true)
	left := start + s.DeadlineMs - g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(0, left).Duration())
	defer cancel()
	// An error only says that the deadline has passed; what is cut then, work for other hosts included, is counted.
	_ = ports.Finish(ctx, g.parts.callers)
	if cut := max(d.Cut(), g.busy()); cut > 0 {
		g.record(event.DrainCut, fmt.Sprintf("%d in flight", cut))
	}
}

// busy counts the requests in flight, those of other hosts included.
func (g *Gate) busy() int { return int(g.inFlight.n.Load()) + g.parts.assign.Running() }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
