// Package tier wires the policies of searches to the engine and to the client of searchers.
package tier

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/internal/call/probe"
	"github.com/yuccahinge/yuccahinge/internal/call/search"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/leave"
	"github.com/yuccahinge/yuccahinge/limit"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/ready"
	"github.com/yuccahinge/yuccahinge/route"
	"github.com/yuccahinge/yuccahinge/share"
)

const (
	// retryShare is the number of retries that one first attempt earns.
	retryShare = 0.1
	// hedgeShare is the number of hedges that one first attempt earns.
	hedgeShare = 0.05
)

// Tier is the search side of an entry host. Set the fields of Engine that depend on the host (States,
// Gossip, Clock, Recorder, CatchUp, Fresh, MaxDeadlineMs) and the fields below, call Wire, then Run.
type Tier struct {
	Engine    query.Engine
	Searchers search.Client
	Route     route.Route
	Ready     ready.Ready
	Leave     leave.Leave

	// Domain is this host's failure domain.
	Domain yuccahinge.DomainID
	// Seed starts the random choices.
	Seed uint64
	// Hosts returns the number of entry hosts that may hold connections to searchers.
	Hosts func() int
	// Draining reports whether others say that a searcher is leaving; nil for none.
	Draining func(id yuccahinge.SearcherID) bool
	// Heard is told of each report that came outside of queries; it may be nil.
	Heard func(id yuccahinge.SearcherID, r *yuccahinge.LoadReport)

	share   share.Share
	hedge   hedge.Hedge
	poison  poison.Poison
	limit   limit.Limit
	retries budget.Budget
	hedges  budget.Budget
}

// Wire joins the parts. It opens no socket and starts no goroutine.
func (t *Tier) Wire() {
	t.Route.Domain = t.Domain
	t.Route.Seed = t.Seed
	t.Route.Draining = t.draining
	t.Route.Holds = t.Ready.Holds
	t.limit.Least = t.ownSlots
	t.retries.Share = retryShare
	t.hedges.Share = hedgeShare
	t.Searchers.Limit = t.connections
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

// Run asks the searchers for their reports until ctx ends, then drops the idle connections.
func (t *Tier) Run(ctx context.Context) error {
	p := probe.Probe{
		States: t.Engine.States,
		Loader: &t.Searchers,
		Heard:  t.heard,
		Urgent: t.Ready.Unknown,
		Quiet:  t.quiet,
		Round:  t.countHosts,
		Clock:  t.Engine.Clock,
	}
	err := p.Run(ctx)
	t.Searchers.Close()
	return err
}

// draining reports whether a searcher must get no new work, by its own word or that of others.
func (t *Tier) draining(id yuccahinge.SearcherID) bool {
	return t.Leave.Leaving(id) || (t.Draining != nil && t.Draining(id))
}

// connections returns this host's share of a searcher's connections.
func (t *Tier) connections(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return t.share.Limit(t.Engine.Clock.Now(), s.Connections)
}

func (t *Tier) quiet(s *yuccahinge.Service) []yuccahinge.SearcherID {
	return t.Route.Quiet(t.Engine.Clock.Now(), &s.Index)
}

func (t *Tier) countHosts() {
	t.share.Observe(t.Engine.Clock.Now(), t.Hosts())
}

// heard takes a searcher's report that came outside of queries.
func (t *Tier) heard(asked yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.LoadReport) {
	t.Route.Report(t.Engine.Clock.Now(), id, r)
	if t.Heard != nil {
		t.Heard(id, r)
	}
	t.Engine.Report(asked, id, r)
}
