package proxy

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

// drainState is the progress of the host's drain, for other goroutines.
type drainState struct {
	started atomic.Bool
	// ended is set when the drain has ended and the host accepts no more requests.
	ended atomic.Bool
}

// drainedRetryAfterSeconds is the Retry-After value for a request that arrives after the drain. The balancer routes the
// retry to another host.
const drainedRetryAfterSeconds = "0.010"

func (d *drainState) hasStarted() bool { return d.started.Load() }

// inFlight counts requests from their arrival to the end of their response.
type inFlight struct {
	count atomic.Int64
}

// trackRequests counts the requests of a handler in flight. It asks callers to close their connections while the host
// drains or is impaired, and refuses requests after the drain.
func (srv *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		srv.inFlight.count.Add(1)
		defer srv.inFlight.count.Add(-1)
		if srv.drainState.ended.Load() {
			// The server may close the connection before a response is sent, so nothing is run for the request.
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", drainedRetryAfterSeconds)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if srv.drainState.hasStarted() || srv.isImpaired.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain runs the graceful shutdown. It cuts off no request in flight before the deadline.
func (srv *Server) drain(ctx context.Context) {
	s := srv.current.Load().Drain
	d := drain.Drain{Grace: s.GraceMs, Timeout: s.DeadlineMs}
	start := srv.clock.Now()
	d.Start(start)
	srv.drainState.started.Store(true)
	srv.record(event.ProcessDraining, string(drain.Announced))
	// Runs apart from the drain, so that unreachable peers don't delay it.
	go srv.parts.syncer.Leave(ctx)
	closing := false
	for {
		phase := d.Step(srv.clock.Now(), srv.countInFlight())
		if phase == drain.Done {
			break
		}
		if phase == drain.Closing && !closing {
			closing = true
			srv.record(event.ProcessDraining, string(phase))
			// Open connections stay open: a caller may have sent a request on one that looks idle.
			_ = srv.ports.callers.Close()
		}
		if next, ok := d.Next(srv.clock.Now()); ok {
			sleep(ctx, (next - srv.clock.Now()).Duration())
		}
	}
	srv.drainState.ended.Store(true)
	left := start + s.DeadlineMs - srv.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(0, left).Duration())
	defer cancel()
	// The only error is that the deadline has passed; the work that this cuts off, also for other hosts, is counted below.
	_ = ports.Shutdown(ctx, srv.parts.callers)
	if cut := max(d.Cut(), srv.countInFlight()); cut > 0 {
		srv.record(event.DrainCut, fmt.Sprintf("%d in flight", cut))
	}
}

// countInFlight returns the number of requests in flight, including those run for other hosts.
func (srv *Server) countInFlight() int {
	return int(srv.inFlight.count.Load()) + srv.parts.assign.InFlight()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
