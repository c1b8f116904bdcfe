package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	// versionLoadTime is the time over which searchers load a new version, one after another.
	versionLoadTime = 4 * time.Second
	// maxPublishDelay bounds the time until a ticket is in force at a host.
	maxPublishDelay = 500 * time.Millisecond
)

func versionChange() Scenario {
	return Scenario{
		Name:        "versionChange",
		Description: "a new index version that the searchers load one after another within 4 s",
		Phases:      steady,
		Steps:       changeVersion(func(p *fleet.Plan) int { return p.FanOut }),
		Evaluate:    evaluateVersionChange,
	}
}

func repartition() Scenario {
	return Scenario{
		Name:        "repartition",
		Description: "a new index version with 1.5 times as many shards",
		Phases:      steady,
		Steps:       changeVersion(func(p *fleet.Plan) int { return p.FanOut * 3 / 2 }),
		Evaluate:    evaluateVersionChange,
	}
}

// changeVersion publishes version 2 and makes the searchers load it one after another.
func changeVersion(shards func(p *fleet.Plan) int) func(t *Testbed, phases []load.Phase) []Step {
	return func(t *Testbed, phases []load.Phase) []Step {
		start := startOf(phases, phaseFault)
		steps := []Step{{At: start, Do: func() { t.Publish(2, shards(t.Plan), maxPublishDelay) }}}
		for i, s := range t.Fleet.Searchers {
			at := start + versionLoadTime*time.Duration(i)/time.Duration(len(t.Fleet.Searchers))
			steps = append(steps, Step{At: at, Do: func() { loadVersion(s) }})
		}
		return steps
	}
}

func loadVersion(s *fleet.Server) {
	s.UpdateFaults(func(f *server.Faults) { f.Versions = []yuccahinge.IndexVersion{1, 2} })
}

func evaluateVersionChange(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	newVersion := s.Summarize(func(x *load.Sample) bool { return x.Version == 2 })
	return []Target{
		atLeast("coverage mean", "fault-free", fault.CoverageMean, before.CoverageMean),
		atLeast("coverage min", "fault-free", fault.CoverageMin, before.CoverageMin),
		atMost("answers that mix versions or shards", "0", float64(s.Wrong), 0),
		atLeast("answers of the new version", "> 0", float64(newVersion.count), 1),
	}
}
