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
	states  *stateProvider
	current atomic.Pointer[runningHost]
}

// runningHost is a host with the number of its searches in flight.
type runningHost struct {
	host     Host
	inFlight sync.WaitGroup
}

var errNoHost = errors.New("searching: the entry host is not started")

func newTestbed(ctx context.Context, group *errgroup.Group, p *fleet.Plan, side *Side, seed uint64) (*Testbed, error) {
	t := &Testbed{
		Plan:    p,
		Fleet:   &fleet.Fleet{Plan: *p},
		Seed:    seed,
		side:    side,
		version: 1,
		shards:  p.FanOut,
	}
	if err := t.Fleet.Start(ctx, group, seed); err != nil {
		return nil, err
	}
	for i := range p.Hosts {
		if err := t.addHost(i); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Testbed) addHost(i int) error {
	s := &hostSlot{states: &stateProvider{}}
	s.config = HostConfig{
		ID:     yuccahinge.HostID(fmt.Sprintf("entry-%d", i)),
		Domain: t.Plan.HostDomain(i),
		Seed:   t.Seed<<8 + uint64(i),
		Hosts:  t.Plan.Hosts,
		States: s.states,
	}
	t.hosts = append(t.hosts, s)
	t.publishTo(s)
	return t.startHost(s)
}

func (t *Testbed) startHost(s *hostSlot) error {
	s.config.Gossip = t.network.join(s.config.ID, s.config.Domain)
	host, err := t.side.New(s.config)
	if err != nil {
		return err
	}
	s.current.Store(&runningHost{host: host})
	return nil
}

// RestartHost starts a new host in place of host i. The old one is closed in the background once its searches in flight have
// ended.
func (t *Testbed) RestartHost(i int) error {
	s := t.hosts[i]
	old := s.current.Load()
	if err := t.startHost(s); err != nil {
		return err
	}
	t.closingHosts.Go(func() {
		// A search may have loaded the old host but not yet incremented inFlight.
		time.Sleep(restartGrace)
		old.inFlight.Wait()
		old.host.Close()
	})
	return nil
}

const restartGrace = 200 * time.Millisecond

// Publish puts an index version in force at all hosts, with delays spread evenly from zero to less than skew.
func (t *Testbed) Publish(version yuccahinge.IndexVersion, shards int, skew time.Duration) {
	t.version, t.shards = version, shards
	for i, s := range t.hosts {
		delay := skew * time.Duration(i) / time.Duration(len(t.hosts))
		time.AfterFunc(delay, func() { t.publishTo(s) })
	}
}

func (t *Testbed) publishTo(s *hostSlot) {
	s.states.set(t.Fleet.State(s.config.Domain, t.version, t.shards))
}

// SetPartitioned cuts all links and notices between a domain and the others, or restores them if partitioned is false.
func (t *Testbed) SetPartitioned(domain yuccahinge.DomainID, partitioned bool) {
	t.Fleet.SetPartitioned(domain, partitioned)
	if !partitioned {
		domain = ""
	}
	t.network.partition(domain)
}

func (t *Testbed) search(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	running := t.hosts[host].current.Load()
	if running == nil {
		return nil, errNoHost
	}
	running.inFlight.Add(1)
	defer running.inFlight.Done()
	return running.host.Search(ctx, r)
}

func (t *Testbed) close() {
	t.closingHosts.Wait()
	for _, s := range t.hosts {
		s.current.Load().host.Close()
	}
}
