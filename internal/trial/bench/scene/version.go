package scene

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
)

const (
	// loadTime is the time over which searchers load a new version, one after another.
	loadTime = 4 * time.Second
	// publishSkew is the time over which hosts learn of a ticket.
	publishSkew = 500 * time.Millisecond
)

func versionChange() Scene {
	return Scene{
		Name:   "versionChange",
		About:  "a new index version that searchers load over 4 s",
		Phases: steady,
		Steps:  changeVersion(func(p *fleet.Plan) int { return p.FanOut }),
		Judge:  judgeVersion,
	}
}

func repartition() Scene {
	return Scene{
		Name:   "repartition",
		About:  "a new index version with half as many shards again",
		Phases: steady,
		Steps:  changeVersion(func(p *fleet.Plan) int { return p.FanOut * 3 / 2 }),
		Judge:  judgeVersion,
	}
}

// changeVersion publishes version 2 and lets the searchers load it in the order of their numbers.
func changeVersion(shards func(p *fleet.Plan) int) func(w *World, phases []drive.Phase) []Step {
	return func(w *World, phases []drive.Phase) []Step {
		start := startOf(phases, phaseFault)
		steps := []Step{{At: start, Do: func() { w.Publish(2, shards(w.Plan), publishSkew) }}}
		for i, s := range w.Fleet.Searchers {
			at := start + loadTime*time.Duration(i)/time.Duration(len(w.Fleet.Searchers))
			steps = append(steps, Step{At: at, Do: func() { loadVersion(s) }})
		}
		return steps
	}
}

func loadVersion(s *fleet.Server) {
	s.Fault(func(f *back.Faults) { f.Versions = []yuccahinge.IndexVersion{1, 2} })
}

func judgeVersion(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	switched := s.Select(func(x *drive.Sample) bool { return x.Version == 2 })
	return []Target{
		atLeast("coverage mean", "fault-free", fault.CoverageMean, before.CoverageMean),
		atLeast("coverage min", "fault-free", fault.CoverageMin, before.CoverageMin),
		atMost("answers that mix versions or shards", "0", float64(s.Wrong), 0),
		atLeast("answers of the new version", "> 0", float64(switched.count), 1),
	}
}
