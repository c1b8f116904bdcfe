// Package node builds an entry host from its parts and runs it.
package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
	"github.com/yuccahinge/yuccahinge/internal/host/reload"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
)

// Node is an entry host. Set Settings, call Listen, then Run.
type Node struct {
	Settings *config.Settings
	Version  string
	// Reload watches the settings file while the host runs; nil disables reloading.
	Reload *reload.Watcher

	// current holds the settings in force. Settings holds those at the start of the process.
	current    atomic.Pointer[config.Settings]
	self       yuccahinge.Member
	clock      clock.Clock
	stamps     hybrid.Clock
	events     event.Ring
	meter      meter.Meter
	ports      listeners
	parts      parts
	drainState drainState
	flights    flight.Tracker
	started    yuccahinge.Millis
}

// Listen binds the three ports. If one can't be bound, it closes the others and returns an error that names the setting.
func (n *Node) Listen(ctx context.Context) error {
	if err := ports.Listen(ctx, n.ports.all(n.Settings)...); err != nil {
		return err
	}
	n.self = yuccahinge.Member{
		ID:          string(n.Settings.Host),
		Domain:      n.Settings.Domain,
		Role:        yuccahinge.RoleEntry,
		Status:      yuccahinge.StatusLive,
		Incarnation: newIncarnation(),
		CallerAddr:  n.ports.callers.Addr().String(),
		PeerAddr:    cmp.Or(n.Settings.PeersPublicAddr, n.ports.peers.Addr().String()),
		AdminAddr:   n.ports.operators.Addr().String(),
	}
	return nil
}

// Self returns this host's entry in the membership list. It is set by Listen.
func (n *Node) Self() yuccahinge.Member { return n.self }

// Run serves until ctx ends, then drains and returns. It stops at once with an error when a component fails.
func (n *Node) Run(ctx context.Context) error {
	n.started = n.clock.Now()
	if err := n.wire(); err != nil {
		ports.Close(n.ports.all(n.Settings)...)
		return err
	}
	n.record(event.ProcessStarted, "version "+n.Version)
	// The components outlive ctx: requests in flight need them until the drain is done.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, background := errgroup.WithContext(background)
	n.serve(background, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
			return nil
		}
		n.drain(background)
		stop()
		return nil
	})
	err := g.Wait()
	n.record(event.ProcessStopped, "")
	return err
}

func (n *Node) record(code yuccahinge.EventCode, detail string) {
	n.events.Record(yuccahinge.Event{Code: code, Detail: detail})
}

func newIncarnation() yuccahinge.Incarnation {
	return yuccahinge.Incarnation(fmt.Sprintf("%016x", rand.Uint64()))
}
