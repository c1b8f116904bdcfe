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

// Shipped returns the side that is wired as in the daemon. The function adapt changes a host's tier before its first
// search, so that the effect of one mechanism can be measured; it may be nil.
func Shipped(name string, adapt func(t *fanout.Fanout)) Side {
	return Side{
		Name: name,
		New:  func(p HostConfig) (Host, error) { return startShipped(&p, adapt), nil },
	}
}

// shipped is an entry host with the default policy of the daemon.
type shipped struct {
	tier   fanout.Fanout
	events event.Ring
	stamps hybrid.Clock
	stop   context.CancelFunc
	done   sync.WaitGroup
}

func startShipped(p *HostConfig, adapt func(t *fanout.Fanout)) *shipped {
	s := new(shipped)
	s.events.Host = p.ID
	s.events.Clock = clock.Clock{}
	s.events.Stamps = &s.stamps
	t := &s.tier
	t.Domain = p.Domain
	t.Seed = p.Seed
	t.HostCount = func() int { return p.Hosts }
	t.Engine.States = p.States
	t.Engine.Gossip = p.Gossip
	t.Engine.Clock = clock.Clock{}
	t.Engine.Recorder = &s.events
	t.Wire()
	if adapt != nil {
		adapt(t)
	}
	p.Gossip.Subscribe(t.Engine.ApplyNotice)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.done.Go(func() { _ = t.Run(ctx) })
	return s
}

// Search implements Host.
func (s *shipped) Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	return s.tier.Engine.Search(ctx, r)
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
