package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	queryOfDeathText  = "query of death"
	queryOfDeathCount = 100
	// crashingShards is the number of shards whose searchers crash on the query in the scenario queryOfDeath.
	crashingShards = 2
)

func queryOfDeath() Scenario {
	return Scenario{
		Name:        "queryOfDeath",
		Description: "a query that crashes the searchers of two shards is sent 100 times",
		Phases:      steady,
		AdaptPlan:   func(p *fleet.Plan) { p.WarmupMs = 0 },
		Setup:       func(t *Testbed) { crashOnQuery(t, crashingShards) },
		Marked:      scheduleQueriesOfDeath,
		Evaluate:    evaluateQueryOfDeath,
	}
}

func queryOfDeathAll() Scenario {
	return Scenario{
		Name:        "queryOfDeathAll",
		Description: "a query that crashes every searcher is sent 100 times",
		Phases:      steady,
		AdaptPlan:   func(p *fleet.Plan) { p.WarmupMs = 0 },
		Setup:       func(t *Testbed) { crashOnQuery(t, t.Plan.FanOut) },
		Marked:      scheduleQueriesOfDeath,
		Evaluate:    evaluateQueryOfDeath,
	}
}

// crashOnQuery makes the searchers of the first shards crash on the query of death.
func crashOnQuery(t *Testbed, shards int) {
	for _, s := range t.Fleet.Searchers {
		if s.Shard < shards {
			s.UpdateFaults(func(f *server.Faults) { f.CrashOn = queryOfDeathText })
		}
	}
}

func scheduleQueriesOfDeath(phases []load.Phase) []load.MarkedSearch {
	start := startOf(phases, phaseFault)
	interval := seconds(phases[len(phases)-1].Seconds) / (queryOfDeathCount + 1)
	var out []load.MarkedSearch
	for i := range queryOfDeathCount {
		out = append(out, load.MarkedSearch{At: start + time.Duration(i)*interval, Query: queryOfDeathText})
	}
	return out
}

func evaluateQueryOfDeath(r *Result) []Target {
	s := r.shipped()
	maxCrashes := 0
	for _, n := range s.Crashes {
		maxCrashes = max(maxCrashes, n)
	}
	fault := s.Row(phaseFault)
	return []Target{
		atMost("searchers crashed in a domain", "<= 4", float64(maxCrashes), 4),
		atMost("innocent searches refused as poisoned", "0", float64(fault.Codes[yuccahinge.CodePoisoned]), 0),
		atMost("innocent searches not run", "0", fault.NotRun, 0),
	}
}
