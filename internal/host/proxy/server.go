// Package proxy builds and runs an entry host that forwards callers' requests to searchers unchanged.
package proxy

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/call/conns"
	"github.com/yuccahinge/yuccahinge/internal/front/assign"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
	"github.com/yuccahinge/yuccahinge/internal/state/routes"
	"github.com/yuccahinge/yuccahinge/internal/view/logs"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
)

// Adapters holds the adapters between the host and its platform.
type Adapters struct {
	// TicketSource publishes the routing, and SearcherSource the list of searchers.
	TicketSource   yuccahinge.ConfigSource
	SearcherSource yuccahinge.ListWatcher
	// NewSearcherClient returns a searcher client.
	NewSearcherClient func(srv *Server) SearcherClient
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(srv *Server) http.Handler
	// NewReadyHandler returns the handler of the balancer's readiness checks.
	NewReadyHandler func(ready func() (bool, string)) http.Handler
}

// SearcherClient sends attempts to searchers, requests their load reports and checks whether they have ended.
type SearcherClient interface {
	yuccahinge.ShardCaller
	prober
	IsGone(ctx context.Context, s *yuccahinge.Searcher, since yuccahinge.Millis) bool
}

// Server is an entry host. Set the exported fields, call Listen, then Run.
type Server struct {
	Settings *config.Settings
	Version  string
	Adapters Adapters
	// Log receives the log lines.
	Log io.Writer
	// Reload watches the settings file while the host runs; nil disables reloading.
	Reload *reload.Watcher

	self       yuccahinge.Member
	clock      clock.Clock
	stamps     hybrid.Clock
	events     ring
	logs       logs.Writer
	meter      meter.Meter
	ports      listeners
	parts      parts
	drainState drainState
	inFlight   inFlight
	flights    flight.Tracker
	started    yuccahinge.Millis
	// current holds the settings in force. Settings holds those at the start of the process.
	current atomic.Pointer[config.Settings]
	prober  prober
	// applied holds the newest list of searchers and serializes its use with that of the evacuations.
	applied struct {
		mu       sync.Mutex
		services map[yuccahinge.ServiceName][]*yuccahinge.Registration
	}
	// listed holds the searchers of the last list; nil before the first one.
	listed atomic.Pointer[map[yuccahinge.SearcherID]bool]
	// isImpaired is true while hosts of other failure domains would serve callers better.
	isImpaired atomic.Bool
	// runsOwnRequests is true if this host runs its wide requests itself, so that it judges by itself whether it can serve.
	runsOwnRequests atomic.Bool
	// demand is guarded by demandMu.
	demandMu sync.Mutex
	demand   routes.Demand
	// warmedSearchers is used only by the goroutine of watchReach.
	warmedSearchers map[yuccahinge.SearcherID]bool
}

// Listen binds the ports. If one can't be bound, it closes the others and returns an error that names the setting.
func (srv *Server) Listen(ctx context.Context) error {
	if err := ports.Listen(ctx, srv.ports.all(srv.Settings)...); err != nil {
		return err
	}
	srv.self = yuccahinge.Member{
		ID:          string(srv.Settings.Host),
		Domain:      srv.Settings.Domain,
		Role:        yuccahinge.RoleEntry,
		Status:      yuccahinge.StatusLive,
		Incarnation: yuccahinge.Incarnation(fmt.Sprintf("%016x", rand.Uint64())),
		CallerAddr:  srv.ports.callers.Addr().String(),
		PeerAddr:    cmp.Or(srv.Settings.PeersPublicAddr, srv.ports.peers.Addr().String()),
		Cores:       srv.Settings.Forward.Cores,
		LinkMbps:    srv.Settings.Forward.LinkMbps,
	}
	return nil
}

// Run serves until ctx ends, then drains and returns. It stops at once with an error when a component fails.
func (srv *Server) Run(ctx context.Context) error {
	if err := srv.wire(); err != nil {
		ports.Close(srv.ports.all(srv.Settings)...)
		return err
	}
	// The components outlive ctx: requests in flight need them until the drain is done.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logGroup errgroup.Group
	logGroup.Go(func() error { return srv.logs.Run(logCtx) })
	srv.record(event.ProcessStarted, "version "+srv.Version)
	group, background := errgroup.WithContext(background)
	srv.serve(background, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			srv.drain(background)
			stop()
		case <-background.Done():
		}
		return nil
	})
	err := group.Wait()
	srv.record(event.ProcessStopped, "")
	stopLog()
	_ = logGroup.Wait() // Run of the log returns no error
	return err
}

// Assigner returns the component that runs forwarded requests, here or at another host.
func (srv *Server) Assigner() *assign.Assigner { return &srv.parts.assign }

// Flights returns the tracker of the requests in flight.
func (srv *Server) Flights() *flight.Tracker { return &srv.flights }

// Plan returns the routing plan in force, or nil until the routing and the searchers are known.
func (srv *Server) Plan() *routes.Plan { return srv.parts.routeTable.Plan() }

// Clock returns the clock that deadlines are measured with.
func (srv *Server) Clock() yuccahinge.Clock { return srv.clock }

// Connections returns the pool of connections to searchers.
func (srv *Server) Connections() *conns.Pool { return &srv.parts.conns }

// RecordRefusal records a request that the callers' handler refused without running it, and the ticket that it was judged by.
func (srv *Server) RecordRefusal(id yuccahinge.RequestID, ticket yuccahinge.TicketNumber, status int, reason string) {
	srv.events.Record(yuccahinge.Event{Code: event.SearchRefused, Request: id, Ticket: ticket, Detail: fmt.Sprintf("%d %s", status, reason)})
}

func (srv *Server) record(code yuccahinge.EventCode, detail string) {
	srv.events.Record(yuccahinge.Event{Code: code, Detail: detail})
}

// ready reports whether the balancer may send requests here.
func (srv *Server) ready() (bool, string) {
	if srv.drainState.hasStarted() {
		return false, "leaving"
	}
	if srv.Plan() == nil {
		return false, "the routing or the searchers are not known yet"
	}
	if !srv.canServe() {
		return false, "too many searchers are unreachable"
	}
	return srv.parts.syncer.Ready()
}
