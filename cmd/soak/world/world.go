// Package world runs the decision parts of many entry hosts on one simulated clock, with small fakes in the
// place of network, platform, searchers and callers, and asserts what must always hold after every step.
//
// Hosts here carry out the parts' decisions as the shells do, without sockets and goroutines. A run
// follows from its seed alone.
package world

import (
	"math/rand/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/cmd/soak/sched"
)

// World is one run. Set Seed and, for a run that must fail, Break; then call Run once.
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
	check     check
	callers   callers
	violation *Violation
}

// Run runs the number of steps and returns the first violation, or nil.
func (w *World) Run(steps int) *Violation {
	w.start()
	for w.steps < steps && w.violation == nil {
		owner, run, ok := w.queue.Next()
		if !ok {
			break
		}
		if h, ok := owner.(*host); ok && w.chance(pausePerStep) {
			w.pause(h, w.span(50, 4000))
			w.queue.At(w.now(), h, run)
			continue
		}
		w.steps++
		run()
	}
	return w.violation
}

// Digest returns the hash of all that happened. Runs of one seed have the same.
func (w *World) Digest() uint64 { return w.trace.sum }

// Counts returns how often things happened that a run should have exercised.
func (w *World) Counts() map[string]int { return w.check.counts }

// SimulatedMs returns the simulated time of the run.
func (w *World) SimulatedMs() yuccahinge.Millis { return w.now() - epoch }

// epoch is the instant at which every run begins.
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
		w.every(monitorMs, w.monitor)
		w.after(w.span(2000, 3000), w.nextTicket)
		w.after(w.span(2000, 4000), w.nextFault)
		w.after(busyMs, func() {
			w.missTicket()
			w.every(roundMs, w.missTicket)
		})
	})
}

func (w *World) now() yuccahinge.Millis { return w.queue.Now() }

// idle takes back the step of a timer that did nothing by itself.
func (w *World) idle() { w.steps-- }

// after runs f after a while.
func (w *World) after(d yuccahinge.Millis, f func()) { w.queue.At(w.now()+d, nil, f) }

// every runs f again and again.
func (w *World) every(d yuccahinge.Millis, f func()) {
	w.after(d, func() {
		w.idle()
		f()
		w.every(d, f)
	})
}

// chance returns true with a probability.
func (w *World) chance(p float64) bool { return w.rand.Float64() < p }

// span draws a length of time.
func (w *World) span(low, high yuccahinge.Millis) yuccahinge.Millis {
	return low + yuccahinge.Millis(w.rand.Float64())*(high-low)
}

// about draws a length of time with a mean.
func (w *World) about(mean yuccahinge.Millis) yuccahinge.Millis {
	return yuccahinge.Millis(w.rand.ExpFloat64()) * mean
}

// pick draws an element.
func pick[T any](w *World, from []T) T { return from[w.rand.IntN(len(from))] }
