package suite

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

// Testbed holds the searchers and the entry hosts of one side while a scenario runs.
type Testbed struct {
	Plan  *fleet.Plan
	Fleet *fleet.Fleet
	Seed  uint64

	side         *Side
	network      network
	hosts        []*hostSlot
	version      yuccahinge.IndexVersion
	shards       int
	closingHosts sync.WaitGroup
}

// hostSlot holds one entry host. A restart replaces the running host and keeps the rest.
type hostSlot struct {
	config  HostConfig
	holder  *stateHolder
	current atomic.Pointer[runningHost]
}

// runningHost is a host with the number of its searches in flight.
type runningHost struct {
	host     Host
	inFlight sync.WaitGroup
}

var errNoHost = errors.New("searching: the entry host is not started")

func newWorld(ctx context.Context, group *errgroup.Group, p *fleet.Plan, side *Side, seed uint64) (*Testbed, error) {
	w := &Testbed{
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

func (w *Testbed) addHost(i int) error {
	s := &hostSlot{holder: &stateHolder{}}
	s.config = HostConfig{
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

func (w *Testbed) startHost(s *hostSlot) error {
	s.config.Gossip = w.network.join(s.config.ID, s.config.Domain)
	host, err := w.side.New(s.config)
	if err != nil {
		return err
	}
	s.current.Store(&runningHost{host: host})
	return nil
}

// RestartHost starts a new host in place of host i. The old one is closed in the background once its searches in flight have
// ended.
func (w *Testbed) RestartHost(i int) error {
	s := w.hosts[i]
	old := s.current.Load()
	if err := w.startHost(s); err != nil {
		return err
	}
	w.closingHosts.Go(func() {
		// A search may have loaded the old host but not yet incremented inFlight.
		time.Sleep(restartGrace)
		old.inFlight.Wait()
		old.host.Close()
	})
	return nil
}

const restartGrace = 200 * time.Millisecond

// Publish puts an index version in force at all hosts, with delays spread evenly from zero to less than skew.
func (w *Testbed) Publish(version yuccahinge.IndexVersion, shards int, skew time.Duration) {
	w.version, w.shards = version, shards
	for i, s := range w.hosts {
		delay := skew * time.Duration(i) / time.Duration(len(w.hosts))
		time.AfterFunc(delay, func() { w.publishTo(s) })
	}
}

func (w *Testbed) publishTo(s *hostSlot) {
	s.holder.set(w.Fleet.State(s.config.Domain, w.version, w.shards))
}

// SetPartitioned cuts all links and notices between a domain and the others, or restores them if cut is false.
func (w *Testbed) SetPartitioned(domain yuccahinge.DomainID, cut bool) {
	w.Fleet.SetPartitioned(domain, cut)
	if !cut {
		domain = ""
	}
	w.network.partition(domain)
}

func (w *Testbed) search(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	running := w.hosts[host].current.Load()
	if running == nil {
		return nil, errNoHost
	}
	running.inFlight.Add(1)
	defer running.inFlight.Done()
	return running.host.Search(ctx, r)
}

func (w *Testbed) close() {
	w.closingHosts.Wait()
	for _, s := range w.hosts {
		s.current.Load().host.Close()
	}
}
