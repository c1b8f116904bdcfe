package suite

import (
	"math"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

func TestSummarizeReturnsFiguresOfSamples(t *testing.T) {
	r := &Report{plan: planParams{fanOut: 4, enoughCoverage: 0.75}}
	for i := range 100 {
		r.samples = append(r.samples, load.Sample{
			Latency: yuccahinge.Millis(i + 1), Asked: 4, Covered: 4, Outcome: yuccahinge.Complete,
		})
	}
	r.samples = append(r.samples,
		load.Sample{Latency: 5, Asked: 4, Covered: 2, Outcome: yuccahinge.Partial},
		load.Sample{Latency: 2, Outcome: yuccahinge.NotRun, Code: yuccahinge.CodeUnavailable},
		load.Sample{Latency: 2, Outcome: yuccahinge.Unknown, Code: yuccahinge.CodeDeadline},
	)
	f := r.Summarize(func(*load.Sample) bool { return true })
	if math.Abs(float64(f.P99-99)) > 1.1 || f.CoverageMin != 0.5 || f.Lacking != 1 {
		t.Fatalf("figures %+v", f)
	}
	if f.good != 100 || f.shardCalls != 102*4 || f.Failed != 1 || math.Abs(f.NotRun-1.0/103) > 1e-9 {
		t.Fatalf("figures %+v", f)
	}
}

func TestScenariosHaveUniqueNamesAndFaultPhase(t *testing.T) {
	plan := fleet.Plans()[0]
	names := map[string]bool{}
	for _, s := range All() {
		if names[s.Name] {
			t.Fatalf("two scenarios are named %s", s.Name)
		}
		names[s.Name] = true
		phases := s.Phases(&plan, 10)
		if phases[0].Name != phaseWarm || startOf(phases, phaseFault) < 10*time.Second {
			t.Fatalf("%s: phases %+v", s.Name, phases)
		}
	}
}

// Runs two scenarios for a short time over real sockets, so that a fault in the scenario code is found without a full
// benchmark run.
func TestBaselineRuns(t *testing.T) {
	plan := fleet.Plans()[0]
	plan.FanOut, plan.Hosts, plan.MedianMs, plan.ConnectMs = 2, 3, 1, 0
	for _, s := range []Scenario{killed(), repartition()} {
		s.Phases = func(*fleet.Plan, float64) []load.Phase {
			return []load.Phase{
				{Name: phaseWarm, Seconds: 0.1, Rate: 50},
				{Name: phaseBefore, Seconds: 0.2, Rate: 50},
				{Name: phaseFault, Seconds: 0.2, Rate: 50},
			}
		}
		r, err := s.Run(t.Context(), Baseline(plan.Connections), plan, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		if before := r.Row(phaseBefore); before.Searches == 0 || before.CoverageMean != 1 || r.Wrong != 0 {
			t.Fatalf("%s: report %+v", s.Name, r)
		}
	}
}
