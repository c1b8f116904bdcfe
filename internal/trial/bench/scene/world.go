package scene

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

// World is the fleet and the entry hosts of one side while a scenario runs.
type World struct {
	Plan  *fleet.Plan
	Fleet *fleet.Fleet
	Seed  uint64

	side    *Side
	network network
	hosts   []*slot
	version yuccahinge.IndexVersion
	shards  int
	closing sync.WaitGroup
}

// slot is the place of one entry host, which restarts fill anew.
type slot struct {
	place   Place
	holder  *holder
	current atomic.Pointer[running]
}

// running is a host and the count of its searches in flight.
type running struct {
	host     Host
	inFlight sync.WaitGroup
}

var errNoHost = errors.New("no entry host")

func newWorld(ctx context.Context, group *errgroup.Group, p *fleet.Plan, side *Side, seed uint64) (*World, error) {
	w := &World{
		Plan:    p,
		Fleet:   &fleet.Fleet{Plan: *p},
		Seed:    seed,
		side:    side,
		version: 1,
		shards:  p.FanOut,
	}
	if err := w.Fleet.Start(ctx, group, seed); err != nil {
		return nil, err
	}
	for i := range p.Hosts {
		if err := w.addHost(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *World) addHost(i int) error {
	s := &slot{holder: &holder{}}
	s.place = Place{
		ID:     yuccahinge.HostID(fmt.Sprintf("entry-%d", i)),
		Domain: w.Plan.HostDomain(i),
		Seed:   w.Seed<<8 + uint64(i),
		Hosts:  w.Plan.Hosts,
		States: s.holder,
	}
	w.hosts = append(w.hosts, s)
	w.publishTo(s)
	return w.startHost(s)
}

func (w *World) startHost(s *slot) error {
	s.place.Gossip = w.network.join(s.place.ID, s.place.Domain)
	host, err := w.side.New(s.place)
	if err != nil {
		return err
	}
	s.current.Store(&running{host: host})
	return nil
}

// Restart replaces the host numbered i by a new one; the old one finishes what it has in flight.
func (w *World) Restart(i int) error {
	s := w.hosts[i]
	old := s.current.Load()
	if err := w.startHost(s); err != nil {
		return err
	}
	w.closing.Go(func() {
		// A search that has loaded the old host may not have counted itself yet.
		time.Sleep(restartGrace)
		old.inFlight.Wait()
		old.host.Close()
	})
	return nil
}

const restartGrace = 200 * time.Millisecond

// Publish puts a version in force at every host, each after a delay of its own up to skew.
func (w *World) Publish(version yuccahinge.IndexVersion, shards int, skew time.Duration) {
	w.version, w.shards = version, shards
	for i, s := range w.hosts {
		delay := skew * time.Duration(i) / time.Duration(len(w.hosts))
		time.AfterFunc(delay, func() { w.publishTo(s) })
	}
}

func (w *World) publishTo(s *slot) {
	s.holder.set(w.Fleet.State(s.place.Domain, w.version, w.shards))
}

// CutDomain cuts a domain off from the others, or mends that with an empty name.
func (w *World) CutDomain(domain yuccahinge.DomainID, cut bool) {
	w.Fleet.Cut(domain, cut)
	if !cut {
		domain = ""
	}
	w.network.cutOff(domain)
}

func (w *World) search(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	running := w.hosts[host].current.Load()
	if running == nil {
		return nil, errNoHost
	}
	running.inFlight.Add(1)
	defer running.inFlight.Done()
	return running.host.Search(ctx, r)
}

func (w *World) close() {
	w.closing.Wait()
	for _, s := range w.hosts {
		s.current.Load().host.Close()
	}
}
