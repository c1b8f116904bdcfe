package suite

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

func domainCut() Scenario {
	return Scenario{
		Name:        "domainCut",
		Description: "one failure domain is cut off from the others",
		Phases:      steady,
		Steps:       atFault(func(t *Testbed) { t.SetPartitioned(t.Plan.Domains[0], true) }),
		Evaluate:    evaluatePartition,
	}
}

func evaluatePartition(r *Result) []Target {
	s := r.shipped()
	isolated := r.Plan.Domains[0]
	start := startOf(s.phases, phaseFault) + partitionSettleTime
	inside := s.Summarize(func(x *load.Sample) bool {
		return s.phases[x.Phase].Name == phaseFault && x.At >= start && s.hostDomain(x) == isolated
	})
	outside := s.SummarizeDomain(phaseFault, isolated, false)
	before := s.SummarizeDomain(phaseBefore, isolated, false)
	reachable := reachableShare(&r.Plan)
	return []Target{
		atLeast("coverage of the others", "1", outside.CoverageMean, 1),
		atMost("p99 of the others over fault-free", "<= 1.1", ratio(outside.P99, before.P99), 1.1),
		atLeast("coverage of the cut one after 1 s", fmt.Sprintf(">= %.2f", reachable), inside.CoverageMean, reachable),
		atMost("failed searches of the cut one after 1 s", "0", float64(inside.Failed), 0),
	}
}

// reachableShare returns the share of shards with a searcher in the domain that domainCut isolates.
func reachableShare(p *fleet.Plan) float64 {
	n := 0
	for shard := range p.FanOut {
		if p.HasReplica(shard, p.Domains[0]) {
			n++
		}
	}
	return float64(n) / float64(p.FanOut)
}

func (r *Report) hostDomain(s *load.Sample) yuccahinge.DomainID {
	return r.plan.domains[s.Host%len(r.plan.domains)]
}
