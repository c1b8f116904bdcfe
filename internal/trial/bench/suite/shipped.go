package suite

import (
	"context"
	"slices"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/host/fanout"
)

// Shipped returns the side that is wired as in the daemon. The function adapt changes a host's Fanout before its first
// search, so that the effect of one mechanism can be measured; it may be nil.
func Shipped(name string, adapt func(f *fanout.Fanout)) Side {
	return Side{
		Name: name,
		New:  func(c HostConfig) (Host, error) { return startShipped(&c, adapt), nil },
	}
}

// shipped is an entry host with the default policy of the daemon.
type shipped struct {
	fanout fanout.Fanout
	events event.Ring
	stamps hybrid.Clock
	stop   context.CancelFunc
	done   sync.WaitGroup
}

func startShipped(c *HostConfig, adapt func(f *fanout.Fanout)) *shipped {
	s := new(shipped)
	s.events.Host = c.ID
	s.events.Clock = clock.Clock{}
	s.events.Stamps = &s.stamps
	f := &s.fanout
	f.Domain = c.Domain
	f.Seed = c.Seed
	f.HostCount = func() int { return c.Hosts }
	f.Engine.States = c.States
	f.Engine.Gossip = c.Gossip
	f.Engine.Clock = clock.Clock{}
	f.Engine.Recorder = &s.events
	f.Wire()
	if adapt != nil {
		adapt(f)
	}
	c.Gossip.Subscribe(f.Engine.ApplyNotice)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.done.Go(func() { _ = f.Run(ctx) })
	return s
}

// Search implements Host.
func (s *shipped) Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	return s.fanout.Engine.Search(ctx, r)
}

// Events implements tracer.
func (s *shipped) Events(id yuccahinge.RequestID) []yuccahinge.Event {
	all, _ := s.events.Since(0)
	return slices.DeleteFunc(all, func(e yuccahinge.Event) bool { return e.Request != id })
}

// Close implements Host.
func (s *shipped) Close() {
	s.stop()
	s.done.Wait()
}
