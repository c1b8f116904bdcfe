package suite

import (
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	// falseLoadShardInterval is the distance between shards with a searcher that reports a false load.
	falseLoadShardInterval = 5
	falseLoadSlowFactor    = 3
)

func falseLoad() Scenario {
	return Scenario{
		Name:        "lyingLoad",
		Description: "one searcher of every fifth shard is three times as slow and reports that it is idle",
		Phases:      steady,
		Steps: atFault(func(t *Testbed) {
			for i := 0; i < len(t.Fleet.Searchers); i += falseLoadShardInterval * t.Plan.Replicas {
				t.Fleet.Searchers[i].UpdateFaults(func(f *server.Faults) {
					f.LoadReport, f.SlowFactor = server.ReportIdle, falseLoadSlowFactor
				})
			}
		}),
		Evaluate: func(r *Result) []Target {
			baseline, s := r.Sides[0].Row(phaseFault), r.shipped().Row(phaseFault)
			return []Target{atMost("p99 over baseline", "<= 1", ratio(s.P99, baseline.P99), 1)}
		},
	}
}
