package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

func frozen() Scenario {
	return Scenario{
		Name:        "frozen",
		Description: "one searcher is frozen",
		Phases:      steady,
		Steps:       atFault(func(t *Testbed) { t.Fleet.Searchers[0].Apply(server.ControlRequest{FreezeMs: forever}) }),
		Evaluate:    evaluateLostSearcher,
	}
}

// forever exceeds the length of any run.
const forever = 3600 * yuccahinge.Second

func killed() Scenario {
	return Scenario{
		Name:        "killed",
		Description: "one searcher is killed",
		Phases:      steady,
		Steps:       atFault(func(t *Testbed) { t.Fleet.Searchers[0].Apply(server.ControlRequest{Kill: true}) }),
		Evaluate:    evaluateLostSearcher,
	}
}

func evaluateLostSearcher(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	settled := s.SummarizeWindow(phaseFault, settleTime, time.Hour)
	targets := []Target{
		atLeast("coverage after 2 s", "1", settled.CoverageMean, 1),
		atMost("p99 over fault-free", "<= 2", ratio(fault.P99, before.P99), 2),
	}
	if r.Plan.Preference == yuccahinge.PreferCoverage {
		targets = append(targets, atMost("searches lacking a shard", "<= 2", float64(fault.Lacking), 2))
	}
	return targets
}

// restartDelay is the time from a searcher's crash to its cold start.
const restartDelay = time.Second

func cold() Scenario {
	return Scenario{
		Name:        "cold",
		Description: "one searcher restarts within 1 s and is cold: five times as slow for 5 s",
		Phases:      steady,
		Steps: func(t *Testbed, phases []load.Phase) []Step {
			s := t.Fleet.Searchers[0]
			start := startOf(phases, phaseFault)
			return []Step{
				{At: start, Do: func() { s.Apply(server.ControlRequest{Kill: true}) }},
				{At: start + restartDelay, Do: func() { s.Apply(server.ControlRequest{Start: true}) }},
			}
		},
		Evaluate: func(r *Result) []Target {
			s := r.shipped()
			return []Target{
				atMost("p99 over fault-free", "<= 2", ratio(s.Row(phaseFault).P99, s.Row(phaseBefore).P99), 2),
			}
		},
	}
}
