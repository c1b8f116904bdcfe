package scene

import (
	"fmt"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/bench/drive"
	"github.com/yuccahinge/yuccahinge/bench/fleet"
	"github.com/yuccahinge/yuccahinge/standin/back"
)

// The phases of scenarios.
const (
	phaseWarm   = "warm"
	phaseBefore = "before"
	phaseFault  = "fault"
	phaseAfter  = "after"
)

const (
	// busyShare is the share of the slots that the usual load keeps busy.
	busyShare = 0.4
	// settleTime is what the system may take to settle after a fault.
	settleTime = 2 * time.Second
	// cutSettle is what a domain that is cut off may take to serve its own.
	cutSettle = time.Second
)

// All returns the scenarios.
func All() []Scene {
	return []Scene{
		faultFree(),
		stragglers(),
		frozen(),
		killed(),
		cold(),
		lyingLoad(),
		overload(),
		connectionStorm(),
		versionChange(),
		repartition(),
		domainCut(),
		queryOfDeath(),
		queryOfDeathAll(),
		memberLag(),
		hedgeProtocol(),
	}
}

// steady has a phase without faults and one with them, at the usual load.
func steady(p *fleet.Plan, seconds float64) []drive.Phase {
	rate := p.Capacity() * busyShare
	return []drive.Phase{
		{Name: phaseWarm, Seconds: warmSeconds, Rate: rate},
		{Name: phaseBefore, Seconds: seconds, Rate: rate},
		{Name: phaseFault, Seconds: seconds, Rate: rate},
	}
}

// atFault runs do when the fault phase begins.
func atFault(do func(w *World)) func(w *World, phases []drive.Phase) []Step {
	return func(w *World, phases []drive.Phase) []Step {
		return []Step{{At: startOf(phases, phaseFault), Do: func() { do(w) }}}
	}
}

func faultFree() Scene {
	return Scene{
		Name:   "faultFree",
		About:  "the usual load, no fault",
		Phases: steady,
		Judge: func(r *Result) []Target {
			row := r.shipped().Row(phaseFault)
			return []Target{atLeast("coverage", "1", row.CoverageMean, 1)}
		},
	}
}

const (
	stragglerShare  = 0.01
	stragglerFactor = 50
)

func straggle(w *World) {
	for _, s := range w.Fleet.Searchers {
		s.Fault(func(f *back.Faults) {
			f.StragglerShare, f.StragglerFactor = stragglerShare, stragglerFactor
		})
	}
}

func stragglers() Scene {
	return Scene{
		Name:   "stragglers",
		About:  "1% of calls take 50 times as long",
		Phases: steady,
		Steps:  atFault(straggle),
		Judge:  judgeStragglers,
	}
}

func judgeStragglers(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	return []Target{
		atMost("p99 over fault-free", "<= 1.5", ratio(fault.P99, before.P99), 1.5),
		atMost("attempts", "<= 1.05", fault.Attempts, 1.05),
	}
}

func ratio(a, b yuccahinge.Millis) float64 {
	if b == 0 {
		return 0
	}
	return float64(a / b)
}

func frozen() Scene {
	return Scene{
		Name:   "frozen",
		About:  "one searcher is frozen",
		Phases: steady,
		Steps:  atFault(func(w *World) { w.Fleet.Searchers[0].Change(back.Control{FreezeMs: forever}) }),
		Judge:  judgeOneGone,
	}
}

// forever is longer than any run.
const forever = 3600 * yuccahinge.Second

func killed() Scene {
	return Scene{
		Name:   "killed",
		About:  "one searcher is killed",
		Phases: steady,
		Steps:  atFault(func(w *World) { w.Fleet.Searchers[0].Change(back.Control{Kill: true}) }),
		Judge:  judgeOneGone,
	}
}

func judgeOneGone(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	settled := s.Within(phaseFault, settleTime, time.Hour)
	targets := []Target{
		atLeast("coverage after 2 s", "1", settled.CoverageMean, 1),
		atMost("p99 over fault-free", "<= 2", ratio(fault.P99, before.P99), 2),
	}
	if r.Plan.Preference == yuccahinge.PreferCoverage {
		targets = append(targets, atMost("searches lacking a shard", "<= 2", float64(fault.Lacking), 2))
	}
	return targets
}

// awayTime is the time from a searcher's end to its cold start.
const awayTime = time.Second

func cold() Scene {
	return Scene{
		Name:   "cold",
		About:  "one searcher restarts within 1 s and is cold: five times as slow for 5 s",
		Phases: steady,
		Steps: func(w *World, phases []drive.Phase) []Step {
			s := w.Fleet.Searchers[0]
			start := startOf(phases, phaseFault)
			return []Step{
				{At: start, Do: func() { s.Change(back.Control{Kill: true}) }},
				{At: start + awayTime, Do: func() { s.Change(back.Control{Start: true}) }},
			}
		},
		Judge: func(r *Result) []Target {
			s := r.shipped()
			return []Target{
				atMost("p99 over fault-free", "<= 2", ratio(s.Row(phaseFault).P99, s.Row(phaseBefore).P99), 2),
			}
		},
	}
}

const (
	// lyingEvery is how many shards share one searcher that lies.
	lyingEvery = 5
	lyingSlow  = 3
)

func lyingLoad() Scene {
	return Scene{
		Name:   "lyingLoad",
		About:  "one searcher of every fifth shard is three times as slow and reports that it is idle",
		Phases: steady,
		Steps: atFault(func(w *World) {
			for i := 0; i < len(w.Fleet.Searchers); i += lyingEvery * w.Plan.Replicas {
				w.Fleet.Searchers[i].Fault(func(f *back.Faults) {
					f.LoadReport, f.SlowFactor = back.ReportLie, lyingSlow
				})
			}
		}),
		Judge: func(r *Result) []Target {
			baseline, s := r.Sides[0].Row(phaseFault), r.shipped().Row(phaseFault)
			return []Target{atMost("p99 over baseline", "<= 1", ratio(s.P99, baseline.P99), 1)}
		},
	}
}

func overload() Scene {
	return Scene{
		Name:  "overload",
		About: "twice the capacity, then the usual load",
		Phases: func(p *fleet.Plan, seconds float64) []drive.Phase {
			return []drive.Phase{
				{Name: phaseWarm, Seconds: warmSeconds, Rate: p.Capacity() * busyShare},
				{Name: phaseBefore, Seconds: seconds, Rate: p.Capacity() * busyShare},
				{Name: phaseCapacity, Seconds: seconds, Rate: p.Capacity()},
				{Name: phaseFault, Seconds: seconds, Rate: 2 * p.Capacity()},
				{Name: phaseAfter, Seconds: seconds, Rate: p.Capacity() * busyShare},
			}
		},
		Judge: judgeOverload,
	}
}

const phaseCapacity = "capacity"

func judgeOverload(r *Result) []Target {
	s := r.shipped()
	capacity, fault := s.Row(phaseCapacity), s.Row(phaseFault)
	settled := s.Within(phaseAfter, settleTime, time.Hour)
	clients := 2 * r.Plan.ClientMs
	return []Target{
		atLeast("goodput over that at capacity", ">= 0.9", fault.Goodput/capacity.Goodput, 0.9),
		atMost("refusals at p99 in ms, at the host", "<= 10", float64(fault.RefusedP99-clients), 10),
		atMost("failed searches", "0", float64(fault.Failed), 0),
		atMost("attempts", "<= 1.1", fault.Attempts, 1.1),
		atMost("p99 2 s after the end over fault-free", "<= 1.1", ratio(settled.P99, s.Row(phaseBefore).P99), 1.1),
	}
}

// restartEvery is the time from one host's restart to the next.
const restartEvery = 500 * time.Millisecond

func connectionStorm() Scene {
	return Scene{
		Name:   "connectionStorm",
		About:  "all entry hosts restart in turn, half a second apart",
		Phases: steady,
		Steps: func(w *World, phases []drive.Phase) []Step {
			start := startOf(phases, phaseFault)
			var steps []Step
			for i := range w.Plan.Hosts {
				at := start + time.Duration(i)*restartEvery
				steps = append(steps, Step{At: at, Do: func() { _ = w.Restart(i) }})
			}
			return steps
		},
		Judge: func(r *Result) []Target {
			s := r.shipped()
			return []Target{
				atMost("connections at a searcher", "<= 25", float64(s.ConnectionsMost), float64(r.Plan.Connections)),
				atMost("connections refused", "0", float64(s.ConnectionsRefused), 0),
				atLeast("coverage", "1", s.Row(phaseFault).CoverageMean, 1),
			}
		},
	}
}

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

func domainCut() Scene {
	return Scene{
		Name:   "domainCut",
		About:  "one failure domain is cut off from the others",
		Phases: steady,
		Steps:  atFault(func(w *World) { w.CutDomain(w.Plan.Domains[0], true) }),
		Judge:  judgeCut,
	}
}

func judgeCut(r *Result) []Target {
	s := r.shipped()
	cut := r.Plan.Domains[0]
	start := startOf(s.phases, phaseFault) + cutSettle
	own := s.Select(func(x *drive.Sample) bool {
		return s.phases[x.Phase].Name == phaseFault && x.At >= start && s.domainOf(x) == cut
	})
	others := s.Of(phaseFault, cut, false)
	before := s.Of(phaseBefore, cut, false)
	reachable := reachableShare(&r.Plan)
	return []Target{
		atLeast("coverage of the others", "1", others.CoverageMean, 1),
		atMost("p99 of the others over fault-free", "<= 1.1", ratio(others.P99, before.P99), 1.1),
		atLeast("coverage of the cut one after 1 s", fmt.Sprintf(">= %.2f", reachable), own.CoverageMean, reachable),
		atMost("failed searches of the cut one after 1 s", "0", float64(own.Failed), 0),
	}
}

// reachableShare is the share of shards with a searcher in one given domain.
func reachableShare(p *fleet.Plan) float64 {
	n := 0
	for shard := range p.FanOut {
		if p.HasReplica(shard, p.Domains[0]) {
			n++
		}
	}
	return float64(n) / float64(p.FanOut)
}

func (r *Report) domainOf(s *drive.Sample) yuccahinge.DomainID {
	return r.plan.domains[s.Host%len(r.plan.domains)]
}

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

func hedgeProtocol() Scene {
	return Scene{
		Name:   "hedgeProtocol",
		About:  "stragglers with hedging over HTTP/1.1, the loser left or cancelled, and over clear-text HTTP/2",
		Phases: steady,
		Steps:  atFault(straggle),
		Judge:  judgeStragglers,
		Sides:  []string{"http1+leave", "http1+cancel", "h2c"},
	}
}
