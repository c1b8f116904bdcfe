package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// peerPoll is the time between two checks whether the work for other hosts has ended.
const peerPoll = 5 * time.Millisecond

// drainState is the progress of the host's drain, for other goroutines.
type drainState struct {
	started atomic.Bool
}

func (d *drainState) hasStarted() bool { return d.started.Load() }

// inFlight counts requests from their arrival to the end of their response.
type inFlight struct {
	count atomic.Int64
}

// trackRequests counts the requests of a handler in flight, and asks callers to close their connections while the host
// drains or is impaired.
func (srv *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		srv.inFlight.count.Add(1)
		defer srv.inFlight.count.Add(-1)
		if srv.drainState.hasStarted() || srv.isImpaired.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain runs the graceful shutdown. It takes only requests that end before the deadline, and answers those that are still
// in flight shortly before it.
func (srv *Server) drain(ctx context.Context) {
	s := srv.current.Load().Drain
	d := drain.Drain{Grace: s.GraceMs, Timeout: s.DeadlineMs}
	start := srv.clock.Now()
	d.Start(start)
	srv.drainState.started.Store(true)
	srv.flights.SetLatestEnd(d.LatestEnd())
	cut := time.AfterFunc((d.LatestEnd() - srv.clock.Now()).Duration(), srv.cutRequests)
	defer cut.Stop()
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
	// Nothing waits for the end of a request that arrives from now on.
	srv.flights.SetLatestEnd(srv.clock.Now())
	left := start + s.DeadlineMs - srv.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(0, left).Duration())
	defer cancel()
	// The only error is that the deadline has passed; the connections that this closes are counted below.
	_ = ports.Shutdown(ctx, srv.parts.callers, &srv.parts.callerConns)
	for srv.parts.assign.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, peerPoll)
	}
	if n := srv.flights.Refused(); n > 0 {
		srv.record(event.DrainRefused, fmt.Sprintf("%d requests might have ended after the drain", n))
	}
	if n := srv.countInFlight(); n > 0 {
		srv.record(event.DrainCut, fmt.Sprintf("%d in flight, without an answer", n))
	}
}

// cutRequests ends the requests in flight, so that their callers get an answer before the process ends.
func (srv *Server) cutRequests() {
	if cut := srv.flights.Cancel(); len(cut) > 0 {
		srv.record(event.DrainCut, flight.Describe(srv.clock.Now(), cut))
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
