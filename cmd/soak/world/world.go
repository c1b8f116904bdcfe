// Package world simulates many entry hosts on one clock, with fakes for the network, platform, searchers and callers,
// and checks invariants during the run.
//
// The hosts run the production decision packages and carry out their decisions without sockets and goroutines. A run
// depends only on its seed, its break and its number of steps.
package world

import (
	"math/rand/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/cmd/soak/sched"
)

// World is one simulation run. Set Seed, and Break for a run that must violate an invariant; then call Run once.
type World struct {
	Seed  uint64
	Break Break

	queue     sched.Queue
	rand      *rand.Rand
	steps     int
	trace     trace
	net       network
	platform  platform
	searchers map[yuccahinge.SearcherID]*searcher
	slots     []*slot
	domains   map[yuccahinge.HostID]yuccahinge.DomainID
	links     links
	check     checker
	callers   callers
	violation *Violation
}

// Run runs the simulation for a number of steps, or until the first violation, which it returns.
func (w *World) Run(steps int) *Violation {
	w.start()
	for w.steps < steps && w.violation == nil {
		owner, run, ok := w.queue.Next()
		if !ok {
			break
		}
		if h, ok := owner.(*host); ok && w.chance(pausePerStep) {
			w.pause(h, w.uniform(50, 4000))
			w.queue.At(w.now(), h, run)
			continue
		}
		w.steps++
		run()
	}
	return w.violation
}

// Digest returns the hash of all traced events. Runs with the same seed have the same digest.
func (w *World) Digest() uint64 { return w.trace.digest }

// Counts returns how often each kind of event happened, to show what a run has exercised.
func (w *World) Counts() map[string]int { return w.check.counts }

// SimulatedMs returns the simulated time since the start of the run.
func (w *World) SimulatedMs() yuccahinge.Millis { return w.now() - epoch }

// epoch is the simulated time at which every run begins.
const epoch yuccahinge.Millis = 1_000_000

func (w *World) start() {
	w.rand = rand.New(rand.NewPCG(w.Seed, 0))
	w.check.start(w)
	w.searchers = make(map[yuccahinge.SearcherID]*searcher)
	w.domains = make(map[yuccahinge.HostID]yuccahinge.DomainID)
	w.startSearchers()
	w.startPlatform()
	w.queue.At(epoch, nil, func() {
		w.startHosts()
		w.startCallers()
		w.every(monitorIntervalMs, w.monitor)
		w.after(w.uniform(2000, 3000), w.nextTicket)
		w.after(w.uniform(2000, 4000), w.nextFault)
		w.after(burstMs, func() {
			w.isolateHostDuringTicket()
			w.every(cycleMs, w.isolateHostDuringTicket)
		})
	})
}

func (w *World) now() yuccahinge.Millis { return w.queue.Now() }

// uncountStep subtracts a timer event that had nothing to do from the number of steps, so that only events with
// an effect count as steps.
func (w *World) uncountStep() { w.steps-- }

// after schedules f after a delay.
func (w *World) after(d yuccahinge.Millis, f func()) { w.queue.At(w.now()+d, nil, f) }

// every schedules f at a fixed interval, which does not count as steps.
func (w *World) every(d yuccahinge.Millis, f func()) {
	w.after(d, func() {
		w.uncountStep()
		f()
		w.every(d, f)
	})
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return w.rand.Float64() < p }

// uniform draws a uniformly distributed duration in [low, high).
func (w *World) uniform(low, high yuccahinge.Millis) yuccahinge.Millis {
	return low + yuccahinge.Millis(w.rand.Float64())*(high-low)
}

// exponential draws an exponentially distributed duration.
func (w *World) exponential(mean yuccahinge.Millis) yuccahinge.Millis {
	return yuccahinge.Millis(w.rand.ExpFloat64()) * mean
}

// pick draws an element of a list that is not empty.
func pick[T any](w *World, from []T) T { return from[w.rand.IntN(len(from))] }
