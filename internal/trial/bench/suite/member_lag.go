package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

// drainTime is the time from the start of a searcher's drain to its exit.
const drainTime = 4 * time.Second

func memberLag() Scenario {
	return Scenario{
		Name:        "memberLag",
		Description: "a searcher drains and exits while the membership list, 30 s stale, still lists it as live",
		Phases:      steady,
		Steps: func(t *Testbed, phases []load.Phase) []Step {
			start := startOf(phases, phaseFault)
			s := t.Fleet.Searchers[0]
			return []Step{
				{At: start, Do: func() { s.UpdateFaults(func(f *server.Faults) { f.Drain = true }) }},
				{At: start + drainTime, Do: func() { s.Apply(server.ControlRequest{Kill: true}) }},
			}
		},
		Evaluate: func(r *Result) []Target {
			s := r.shipped()
			fault := s.Row(phaseFault)
			return []Target{
				atLeast("coverage", "1", fault.CoverageMean, 1),
				atMost("p99 over fault-free", "<= 2", ratio(fault.P99, s.Row(phaseBefore).P99), 2),
			}
		},
	}
}
