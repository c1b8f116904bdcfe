package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// restartEvery is the time from one host's restart to the next.
const restartEvery = 500 * time.Millisecond

func connectionStorm() Scenario {
	return Scenario{
		Name:        "connectionStorm",
		Description: "all entry hosts restart in turn, half a second apart",
		Phases:      steady,
		Steps: func(t *Testbed, phases []load.Phase) []Step {
			start := startOf(phases, phaseFault)
			var steps []Step
			for i := range t.Plan.Hosts {
				at := start + time.Duration(i)*restartEvery
				steps = append(steps, Step{At: at, Do: func() { _ = t.RestartHost(i) }})
			}
			return steps
		},
		Evaluate: func(r *Result) []Target {
			s := r.shipped()
			return []Target{
				atMost("connections at a searcher", "<= 25", float64(s.MaxConnections), float64(r.Plan.Connections)),
				atMost("connections refused", "0", float64(s.ConnectionsRefused), 0),
				atLeast("coverage", "1", s.Row(phaseFault).CoverageMean, 1),
			}
		},
	}
}
