// Package gate wires an entry host that forwards callers' requests to searchers as they came.
package gate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/call/conns"
	"github.com/yuccahinge/yuccahinge/internal/front/assign"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
	"github.com/yuccahinge/yuccahinge/internal/state/chart"
	"github.com/yuccahinge/yuccahinge/internal/view/logs"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
)

// Outside is what joins a gate to the platform that it runs on.
type Outside struct {
	// Tickets publishes the routing and Searchers the list of searchers.
	Tickets   yuccahinge.Source
	Searchers yuccahinge.Publisher
	// Caller returns the client of searchers on connections that the gate bounds.
	Caller func(c *conns.Conns, limit func(yuccahinge.SearcherID, *yuccahinge.Searcher) int, now yuccahinge.Clock) SearcherClient
	// Front returns the handler of callers.
	Front func(g *Gate) http.Handler
	// Ready returns the handler of the balancer's questions.
	Ready func(ready func() (bool, string)) http.Handler
}

// SearcherClient sends attempts and asks searchers how they are.
type SearcherClient interface {
	yuccahinge.ShardCaller
	prober
}

// Gate is an entry host. Set the exported fields, call Listen, then Run.
type Gate struct {
	Settings *config.Settings
	Version  string
	Outside  Outside
	// Log takes the lines of the log.
	Log io.Writer
	// Reload follows the settings while the gate runs; nil for settings that never change.
	Reload *reload.Reload

	self     yuccahinge.Member
	clock    clock.Clock
	stamps   hybrid.Clock
	events   ring
	logs     logs.Logs
	meter    meter.Meter
	ports    listeners
	parts    parts
	leave    departure
	inFlight inFlight
	started  yuccahinge.Millis
	// current are the settings in force, of which Settings were the first.
	current atomic.Pointer[config.Settings]
	prober  prober
	// unserving says that callers are better served by hosts of other failure domains.
	unserving atomic.Bool
	// isStrong says that this host asks the searchers of wide requests, for weak hosts too.
	isStrong atomic.Bool
	// asked and warmed belong to the goroutine that watches the reach.
	asked  chart.Demand
	warmed map[yuccahinge.SearcherID]bool
}

// Listen binds the ports. On an error nothing stays bound, and the error names the setting.
func (g *Gate) Listen(ctx context.Context) error {
	if err := ports.Listen(ctx, g.ports.all(g.Settings)...); err != nil {
		return err
	}
	g.self = yuccahinge.Member{
		ID:          string(g.Settings.Host),
		Domain:      g.Settings.Domain,
		Role:        yuccahinge.RoleEntry,
		Status:      yuccahinge.StatusLive,
		Incarnation: yuccahinge.Incarnation(fmt.Sprintf("%016x", rand.Uint64())),
		CallerAddr:  g.ports.callers.Addr().String(),
		PeerAddr:    g.ports.peers.Addr().String(),
		Cores:       g.Settings.Forward.Cores,
		LinkMbps:    g.Settings.Forward.LinkMbps,
	}
	return nil
}

// Run serves until ctx ends, drains, and returns. An error ends it at once.
func (g *Gate) Run(ctx context.Context) error {
	if err := g.wire(); err != nil {
		ports.Close(g.ports.all(g.Settings)...)
		return err
	}
	// The parts outlive ctx: requests in flight need them until the drain is done.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	logged, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var log errgroup.Group
	log.Go(func() error { return g.logs.Run(logged) })
	g.record(event.ProcessStarted, "version "+g.Version)
	group, background := errgroup.WithContext(background)
	g.serve(background, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.drain(background)
			stop()
		case <-background.Done():
		}
		return nil
	})
	err := group.Wait()
	g.record(event.ProcessStopped, "")
	stopLog()
	_ = log.Wait() // it never fails
	return err
}

// Engine returns what answers forwarded requests.
func (g *Gate) Engine() *assign.Assign { return &g.parts.assign }

// Plan returns the plan in force, or nil while none is known.
func (g *Gate) Plan() *chart.Plan { return g.parts.chart.Plan() }

// Clock returns the clock that deadlines are counted on.
func (g *Gate) Clock() yuccahinge.Clock { return g.clock }

// Refused records a request that a front refused by itself.
func (g *Gate) Refused(id yuccahinge.RequestID, status int, reason string) {
	g.events.Record(yuccahinge.Event{Code: event.SearchRefused, Request: id, Detail: fmt.Sprintf("%d %s", status, reason)})
}

func (g *Gate) record(code yuccahinge.EventCode, detail string) {
	g.events.Record(yuccahinge.Event{Code: code, Detail: detail})
}

// ready reports whether the balancer may send requests here.
func (g *Gate) ready() (bool, string) {
	if g.leave.begun() {
		return false, "leaving"
	}
	if g.Plan() == nil {
		return false, "the routing or the searchers are not known yet"
	}
	if g.unserving.Load() {
		return false, "too many searchers are out of reach"
	}
	return g.parts.keeper.Ready()
}
