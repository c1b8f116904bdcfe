package scene

import (
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
)

// leaveTime is the time from a searcher's drain to its end.
const leaveTime = 4 * time.Second

func memberLag() Scene {
	return Scene{
		Name:   "memberLag",
		About:  "a searcher drains and ends while the membership list, 30 s late, calls it live",
		Phases: steady,
		Steps: func(w *World, phases []drive.Phase) []Step {
			start := startOf(phases, phaseFault)
			s := w.Fleet.Searchers[0]
			return []Step{
				{At: start, Do: func() { s.Fault(func(f *back.Faults) { f.Drain = true }) }},
				{At: start + leaveTime, Do: func() { s.Change(back.Control{Kill: true}) }},
			}
		},
		Judge: func(r *Result) []Target {
			s := r.shipped()
			fault := s.Row(phaseFault)
			return []Target{
				atLeast("coverage", "1", fault.CoverageMean, 1),
				atMost("p99 over fault-free", "<= 2", ratio(fault.P99, s.Row(phaseBefore).P99), 2),
			}
		},
	}
}
