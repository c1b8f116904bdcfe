package scene

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
)

const (
	deathText = "query of death"
	deaths    = 100
	// deadlyShards is the number of shards whose data makes the query deadly.
	deadlyShards = 2
)

func queryOfDeath() Scene {
	return Scene{
		Name:   "queryOfDeath",
		About:  "a query that crashes the searchers of two shards is sent 100 times",
		Phases: steady,
		Adapt:  func(p *fleet.Plan) { p.ColdMs = 0 },
		Setup:  func(w *World) { dieOn(w, deadlyShards) },
		Marked: sendDeaths,
		Judge:  judgeDeath,
	}
}

func queryOfDeathAll() Scene {
	return Scene{
		Name:   "queryOfDeathAll",
		About:  "a query that crashes every searcher is sent 100 times",
		Phases: steady,
		Adapt:  func(p *fleet.Plan) { p.ColdMs = 0 },
		Setup:  func(w *World) { dieOn(w, w.Plan.FanOut) },
		Marked: sendDeaths,
		Judge:  judgeDeath,
	}
}

// dieOn lets the searchers of the first shards crash on the marked query.
func dieOn(w *World, shards int) {
	for _, s := range w.Fleet.Searchers {
		if s.Shard < shards {
			s.Fault(func(f *back.Faults) { f.CrashOn = deathText })
		}
	}
}

func sendDeaths(phases []drive.Phase) []drive.Marked {
	start := startOf(phases, phaseFault)
	step := seconds(phases[len(phases)-1].Seconds) / (deaths + 1)
	var out []drive.Marked
	for i := range deaths {
		out = append(out, drive.Marked{At: start + time.Duration(i)*step, Query: deathText})
	}
	return out
}

func judgeDeath(r *Result) []Target {
	s := r.shipped()
	most := 0
	for _, n := range s.Crashes {
		most = max(most, n)
	}
	fault := s.Row(phaseFault)
	return []Target{
		atMost("searchers crashed in a domain", "<= 4", float64(most), 4),
		atMost("innocent searches refused as poisoned", "0", float64(fault.Codes[yuccahinge.CodePoisoned]), 0),
		atMost("innocent searches not run", "0", fault.NotRun, 0),
	}
}
