// Package fanout connects the query engine, its policies (replica picking, hedging, budgets, limits) and the searcher client.
package fanout

import (
	"context"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"github.com/yuccahinge/yuccahinge/depart"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/internal/call/probe"
	"github.com/yuccahinge/yuccahinge/internal/call/search"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/limit"
	"github.com/yuccahinge/yuccahinge/picker"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/ration"
	"github.com/yuccahinge/yuccahinge/share"
	"github.com/yuccahinge/yuccahinge/swap"
)

const (
	// retriesPerAttempt is the number of retries that each first attempt adds to the retry budget.
	retriesPerAttempt = 0.1
	// hedgesPerAttempt is the number of hedges that each first attempt adds to the hedge budget.
	hedgesPerAttempt = 0.05
)

// Fanout serves the searches of an entry host. Set the fields of Engine that depend on the host (States,
// Gossip, Clock, Recorder, CatchUp, Refresh, MaxDeadlineMs) and the fields below, call Wire, then Run.
type Fanout struct {
	Engine     query.Engine
	Searchers  search.Client
	Balancer   picker.Balancer
	Versions   swap.Versions
	Departures depart.Tracker
	Limits     ration.Limiter

	// Domain is this host's failure domain.
	Domain yuccahinge.DomainID
	// Seed seeds the random choices.
	Seed uint64
	// HostCount returns the number of entry hosts that share the searchers' connections and slots.
	HostCount func() int
	// Hosts returns the entry hosts that divide the maximum request rates of the searchers; nil means that this host is
	// the only one.
	Hosts func() []ration.Host
	// Draining reports whether other hosts have gossiped that a searcher drains; nil means that none does.
	Draining func(id yuccahinge.SearcherID) bool
	// OnReport is called for each load report of a probe; it may be nil.
	OnReport func(id yuccahinge.SearcherID, r *yuccahinge.LoadReport)

	share   share.Allocator
	hedge   hedge.Policy
	poison  poison.Quarantine
	limit   limit.Limiter
	retries budget.Budget
	hedges  budget.Budget
}

// Wire connects the query engine, its policies and the searcher client. It opens no socket and starts no goroutine.
func (f *Fanout) Wire() {
	f.Balancer.Domain = f.Domain
	f.Balancer.Seed = f.Seed
	f.Balancer.IsDraining = f.isDraining
	f.Balancer.HoldsVersion = f.Versions.Holds
	f.Balancer.Limits = &f.Limits
	f.limit.MinBound = f.minSlotShare
	f.retries.Share = retriesPerAttempt
	f.hedges.Share = hedgesPerAttempt
	f.Searchers.MaxConns = f.connectionShare
	f.Searchers.Clock = f.Engine.Clock
	f.Searchers.MaySend = f.MaySend
	f.Balancer.IsEvacuated = f.isEvacuated
	e := &f.Engine
	e.Caller = &f.Searchers
	e.Picker = &f.Balancer
	e.Observer = &f.Balancer
	e.Room = &f.Balancer
	e.Hedger = &f.hedge
	e.LatencyRecorder = &f.hedge
	e.RetryBudget = &f.retries
	e.HedgeBudget = &f.hedges
	e.Limiter = &f.limit
	e.Quarantine = &f.poison
	e.Canary = true
	e.Domain = f.Domain
	e.Versions = &f.Versions
	e.Departures = &f.Departures
	f.countHosts()
}

// Run probes the searchers for load reports until ctx ends, then closes the idle connections.
func (f *Fanout) Run(ctx context.Context) error {
	p := probe.Prober{
		States:      f.Engine.States,
		Reporter:    &f.Searchers,
		OnReport:    f.handleReport,
		Urgent:      f.Versions.UnconfirmedSearchers,
		Silent:      f.ejectedSearchers,
		BeforeRound: f.countHosts,
		Start:       f.startProbe,
		Clock:       f.Engine.Clock,
	}
	err := p.Run(ctx)
	f.Searchers.Close()
	return err
}

// isDraining reports whether a searcher must get no new work, by its own load reports or by gossip of other hosts.
func (f *Fanout) isDraining(id yuccahinge.SearcherID) bool {
	return f.Departures.IsDraining(id) || (f.Draining != nil && f.Draining(id))
}

// MaySend reports whether the domain of a searcher is not evacuated by the newest state.
func (f *Fanout) MaySend(s *yuccahinge.Searcher) bool { return !f.isEvacuated(s.Domain) }

func (f *Fanout) isEvacuated(d yuccahinge.DomainID) bool {
	if f.Engine.States == nil {
		return false
	}
	state, _ := f.Engine.States.State()
	return state != nil && slices.Contains(state.Evacuated, d)
}

// connectionShare returns this host's share of a searcher's connections.
func (f *Fanout) connectionShare(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return f.share.Limit(f.Engine.Clock.Now(), s.Connections)
}

func (f *Fanout) ejectedSearchers(s *yuccahinge.Service) []yuccahinge.SearcherID {
	return f.Balancer.EjectedSearchers(f.Engine.Clock.Now(), &s.Index)
}

func (f *Fanout) countHosts() {
	now := f.Engine.Clock.Now()
	f.share.SetHosts(now, f.HostCount())
	hosts := []ration.Host{{ID: f.Limits.Self, Domain: f.Domain}}
	if f.Hosts != nil {
		hosts = f.Hosts()
	}
	f.Limits.SetHosts(now, hosts)
}

func (f *Fanout) startProbe(id yuccahinge.SearcherID, s *yuccahinge.Searcher) bool {
	return f.Balancer.StartProbe(f.Engine.Clock.Now(), id, s, "")
}

// handleReport passes a searcher's report from a probe to the components that use it. The probe was sent at sentAt.
func (f *Fanout) handleReport(sentAt yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.LoadReport) {
	f.Balancer.RecordReport(f.Engine.Clock.Now(), id, r)
	if f.OnReport != nil {
		f.OnReport(id, r)
	}
	f.Engine.RecordReport(sentAt, id, r)
}
