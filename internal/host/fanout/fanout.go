// Package fanout connects the query engine, its policies (routing, hedging, budgets, limits) and the searcher client.
package fanout

import (
	"context"

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
// Gossip, Clock, Recorder, CatchUp, Fresh, MaxDeadlineMs) and the fields below, call Wire, then Run.
type Fanout struct {
	Engine    query.Engine
	Searchers search.Client
	Route     picker.Balancer
	Ready     swap.Versions
	Leave     depart.Tracker

	// Domain is this host's failure domain.
	Domain yuccahinge.DomainID
	// Seed seeds the random choices.
	Seed uint64
	// HostCount returns the number of entry hosts that share the searchers' connections and slots.
	HostCount func() int
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

// Wire connects the parts. It opens no socket and starts no goroutine.
func (t *Fanout) Wire() {
	t.Route.Domain = t.Domain
	t.Route.Seed = t.Seed
	t.Route.IsDraining = t.draining
	t.Route.HoldsVersion = t.Ready.Holds
	t.limit.MinBound = t.minSlotShare
	t.retries.Share = retriesPerAttempt
	t.hedges.Share = hedgesPerAttempt
	t.Searchers.MaxConns = t.connections
	t.Searchers.Clock = t.Engine.Clock
	e := &t.Engine
	e.Caller = &t.Searchers
	e.Picker = &t.Route
	e.Observer = &t.Route
	e.Hedger = &t.hedge
	e.Learner = &t.hedge
	e.RetryBudget = &t.retries
	e.HedgeBudget = &t.hedges
	e.Limiter = &t.limit
	e.Poison = &t.poison
	e.Canary = true
	e.Domain = t.Domain
	e.Ready = &t.Ready
	e.Leave = &t.Leave
	t.countHosts()
}

// Run probes the searchers for load reports until ctx ends, then closes the idle connections.
func (t *Fanout) Run(ctx context.Context) error {
	p := probe.Prober{
		States:      t.Engine.States,
		Reporter:    &t.Searchers,
		OnReport:    t.takeReport,
		Urgent:      t.Ready.UnconfirmedSearchers,
		Silent:      t.ejectedSearchers,
		BeforeRound: t.countHosts,
		Clock:       t.Engine.Clock,
	}
	err := p.Run(ctx)
	t.Searchers.Close()
	return err
}

// draining reports whether a searcher must get no new work, by its own load reports or by gossip of other hosts.
func (t *Fanout) draining(id yuccahinge.SearcherID) bool {
	return t.Leave.IsDraining(id) || (t.Draining != nil && t.Draining(id))
}

// connections returns this host's share of a searcher's connections.
func (t *Fanout) connections(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return t.share.Limit(t.Engine.Clock.Now(), s.Connections)
}

func (t *Fanout) ejectedSearchers(s *yuccahinge.Service) []yuccahinge.SearcherID {
	return t.Route.EjectedSearchers(t.Engine.Clock.Now(), &s.Index)
}

func (t *Fanout) countHosts() {
	t.share.SetHosts(t.Engine.Clock.Now(), t.HostCount())
}

// takeReport passes a searcher's report from a probe to the parts that use it. Asked is when the probe was sent.
func (t *Fanout) takeReport(asked yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.LoadReport) {
	t.Route.RecordReport(t.Engine.Clock.Now(), id, r)
	if t.OnReport != nil {
		t.OnReport(id, r)
	}
	t.Engine.RecordReport(asked, id, r)
}
