// Package fleet runs the stand-in searchers of one service and the network links between its failure domains.
package fleet

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

// Fleet holds the searchers of a plan and, for each searcher, a link from each other domain.
type Fleet struct {
	Plan      Plan
	Searchers []*Server

	links map[crossDomainRoute]*link.Link
}

// Server is a stand-in searcher with its failure domain and shard.
type Server struct {
	*server.Searcher
	ID     yuccahinge.SearcherID
	Domain yuccahinge.DomainID
	Shard  int
}

// crossDomainRoute is the key of the link from a domain to a searcher in another domain.
type crossDomainRoute struct {
	from yuccahinge.DomainID
	to   yuccahinge.SearcherID
}

const loopbackAddr = "127.0.0.1:0"

// Start binds all addresses and runs the searchers and links in the group until ctx ends.
func (f *Fleet) Start(ctx context.Context, group *errgroup.Group, seed uint64) error {
	f.links = map[crossDomainRoute]*link.Link{}
	for shard := range f.Plan.FanOut {
		for replica := range f.Plan.Replicas {
			if err := f.startSearcher(ctx, group, shard, replica, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startSearcher(ctx context.Context, group *errgroup.Group, shard, replica int, seed uint64) error {
	p := &f.Plan
	s := &Server{
		ID:     yuccahinge.SearcherID(fmt.Sprintf("%s-%d-%d", p.Service, shard, replica)),
		Domain: p.searcherDomain(shard, replica),
		Shard:  shard,
	}
	s.Searcher = &server.Searcher{Config: server.Config{
		ID:             s.ID,
		Listen:         loopbackAddr,
		Seed:           seed<<16 + uint64(len(f.Searchers)),
		Slots:          p.Slots,
		MaxQueued:      p.MaxQueued,
		MaxConnections: p.Connections,
		ConnectMs:      p.ConnectMs,
		MedianMs:       p.MedianMs,
		LogStdDev:      p.LogStdDev,
		RestartMs:      p.RestartMs,
		WarmupMs:       p.WarmupMs,
		WarmStart:      true,
		Versions:       []yuccahinge.IndexVersion{1},
	}}
	if err := s.Listen(); err != nil {
		return err
	}
	group.Go(func() error { return s.Run(ctx) })
	f.Searchers = append(f.Searchers, s)
	for _, from := range p.Domains {
		if err := f.startLink(ctx, group, from, s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startLink(ctx context.Context, group *errgroup.Group, from yuccahinge.DomainID, s *Server) error {
	if from == s.Domain {
		return nil
	}
	l := &link.Link{ListenAddr: loopbackAddr, Target: s.Addr()}
	if err := l.Listen(); err != nil {
		return err
	}
	l.SetFaults(link.Faults{DelayMs: f.Plan.CrossDomainDelayMs})
	group.Go(func() error { return l.Run(ctx) })
	f.links[crossDomainRoute{from, s.ID}] = l
	return nil
}

// SetPartitioned cuts all links between the domain and the others, or restores them if partitioned is false.
func (f *Fleet) SetPartitioned(domain yuccahinge.DomainID, partitioned bool) {
	faults := link.Faults{DelayMs: f.Plan.CrossDomainDelayMs}
	if partitioned {
		faults.Cut = link.CutBoth
	}
	for _, s := range f.Searchers {
		for _, from := range f.Plan.Domains {
			l := f.links[crossDomainRoute{from, s.ID}]
			if l != nil && (from == domain || s.Domain == domain) {
				l.SetFaults(faults)
			}
		}
	}
}

// Total returns the sums of the counters of all searchers.
func (f *Fleet) Total() Total {
	t := Total{Crashes: map[yuccahinge.DomainID]int{}}
	for _, s := range f.Searchers {
		c := s.Counters()
		t.Received += c.Received
		t.Runs += c.Runs
		t.Finished += c.Finished
		t.Connects += c.AcceptedConnections
		t.Refused += c.RefusedConnections
		t.MaxConnections = max(t.MaxConnections, c.MaxConnections)
		if c.Crashes > 0 {
			t.Crashes[s.Domain] += c.Crashes
		}
	}
	return t
}

// Total holds the sums of the counters of all searchers of a fleet.
type Total struct {
	Received, Runs, Finished, Connects, Refused int
	// MaxConnections is the highest number of connections at a single searcher.
	MaxConnections int
	Crashes        map[yuccahinge.DomainID]int
}
