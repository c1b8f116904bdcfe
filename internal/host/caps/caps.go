// Package caps bounds what clients take of a host, as its settings say.
package caps

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/front/guard"
	"github.com/yuccahinge/yuccahinge/internal/front/usage"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

const (
	// reportInterval is the shortest time between two events about connections that were ended.
	reportInterval = 10 * time.Second
	// sidePart and minSideConnections give the connections of the operators' and the readiness port.
	sidePart           = 8
	minSideConnections = 16
)

// Caps bounds the connections of all ports of a host. One that was not set up bounds nothing.
type Caps struct {
	Callers, Ready, Operators, Peers usage.Port

	guard guard.Guard
}

// SetUp takes the bounds from settings. The function caller returns the limits of callers in force.
func (c *Caps) SetUp(l *config.Limits, clock yuccahinge.Clock, caller func() yuccahinge.CallerLimits) {
	if !l.BoundsClients() {
		return
	}
	c.guard.Clock = clock
	t := &c.guard.Tracker
	t.MaxBytes, t.HeaderLines, t.StallMs, t.BytesPerSecond = l.MaxClientBytes(), l.HeaderLines, l.StallMs, l.ClientBytesPerSecond
	t.Caller = caller
	n := l.MaxClientConnections()
	if n == 0 {
		return
	}
	side := max(minSideConnections, n/sidePart)
	c.Callers.MaxConnections, c.Peers.MaxConnections = n, n
	c.Ready.MaxConnections, c.Operators.MaxConnections = side, side
}

// LimitHeap sets the soft limit of the heap from settings, unless the environment has set one.
func LimitHeap(l *config.Limits) {
	if n := l.HeapBytes(); n > 0 && debug.SetMemoryLimit(-1) > 1<<62 {
		debug.SetMemoryLimit(n)
	}
}

// Prepare makes a server count its connections and the bodies of its requests. ConnState and ConnContext that it has are kept.
func (c *Caps) Prepare(s *http.Server) {
	if c.guard.Clock == nil {
		return
	}
	state, connContext := s.ConnState, s.ConnContext
	s.Handler = c.guard.Handler(s.Handler)
	s.ConnState = func(nc net.Conn, st http.ConnState) {
		c.guard.Track(nc, st)
		if state != nil {
			state(nc, st)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		ctx = c.guard.NewContext(ctx, nc)
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return ctx
	}
}

// Listen returns a listener with bounded connections for a server that was prepared.
func (c *Caps) Listen(l net.Listener, p *usage.Port) net.Listener { return c.guard.Listen(l, p) }

// ListenMessages returns a listener with bounded connections for other hosts.
func (c *Caps) ListenMessages(l net.Listener) net.Listener {
	return c.guard.ListenMessages(l, &c.Peers)
}

// Run ends connections that take too long, and records how many were ended, until ctx ends.
func (c *Caps) Run(ctx context.Context, r yuccahinge.EventRecorder) error {
	if c.guard.Clock == nil {
		return nil
	}
	go c.report(ctx, r)
	return c.guard.Run(ctx)
}

func (c *Caps) report(ctx context.Context, r yuccahinge.EventRecorder) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	last := make(map[usage.Reason]uint64)
	for {
		select {
		case <-tick.C:
			if text := c.describe(last); text != "" {
				r.Record(yuccahinge.Event{Code: event.ClientsEnded, Detail: text})
			}
		case <-ctx.Done():
			return
		}
	}
}

// describe returns how many connections were ended by reason since the counts in last, which it updates.
func (c *Caps) describe(last map[usage.Reason]uint64) string {
	var out []string
	for _, reason := range usage.Reasons {
		if n := c.guard.Tracker.Ended(reason); n > last[reason] {
			out = append(out, fmt.Sprintf("%s %d", reason, n-last[reason]))
			last[reason] = n
		}
	}
	return strings.Join(out, ", ")
}

// Gauge registers a metric that is read at each scrape.
type Gauge func(name, description string, read func() float64) error

// RegisterGauges registers the metrics.
func (c *Caps) RegisterGauges(register Gauge) error {
	t := &c.guard.Tracker
	for _, g := range []struct {
		name, description string
		read              func() float64
	}{
		{"yuccahinge.clients.connections", "Connections of clients on all ports.", func() float64 { return float64(t.Len()) }},
		{"yuccahinge.clients.bytes", "Bytes that are held for clients beyond what a connection takes.", func() float64 { return float64(t.Bytes()) }},
		{"yuccahinge.clients.connections.max", "Most connections of callers; zero for no bound.", func() float64 { return float64(c.Callers.MaxConnections) }},
		{"yuccahinge.clients.bytes.max", "Most bytes that are held for clients beyond what a connection takes; zero for no bound.", func() float64 { return float64(t.MaxBytes) }},
		{"yuccahinge.clients.ended", "Connections of clients that were ended because of what they took.", func() float64 { return float64(c.ended()) }},
	} {
		if err := register(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}

func (c *Caps) ended() uint64 {
	var sum uint64
	for _, reason := range usage.Reasons {
		sum += c.guard.Tracker.Ended(reason)
	}
	return sum
}
