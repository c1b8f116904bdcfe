package limit

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// initialBound is the bound before anything is known.
	initialBound = 64
	// windowMs is the least span over which latencies are judged.
	windowMs yuccahinge.Millis = 100
	// windowSamples is the least number of requests in a window.
	windowSamples = 8
	// slackMs is the latency over the tolerance that is never held against a service.
	slackMs = 5
	// decrease is the factor by which the bound falls in a congested window.
	decrease = 0.85
	// growth is the share by which the bound rises in a window that used it up.
	growth = 0.1
	// baseRise is the factor per window by which the uncongested latency forgets its lowest sample.
	baseRise = 1.0005
	// baseLift is the same factor while the bound is at its least: what is still slow then is no queue.
	baseLift = 1.02
)

// gate bounds the requests in flight of one service. Admission reads and writes atomics only; the lock
// is taken once per window.
type gate struct {
	service  yuccahinge.ServiceName
	inFlight atomic.Int64
	bound    atomic.Int64
	peak     atomic.Int64

	// lowMicros, count and slow describe the present window.
	lowMicros atomic.Int64
	count     atomic.Int64
	slow      atomic.Int64
	opened    atomic.Int64 // in microseconds
	// slowMicros is the latency from which a request counts as slow; zero while none is known.
	slowMicros atomic.Int64

	mu   sync.Mutex
	base float64 // the uncongested latency in milliseconds
}

func (g *gate) admit() bool {
	n := g.inFlight.Add(1)
	if n > g.bound.Load() {
		g.inFlight.Add(-1)
		return false
	}
	if n > g.peak.Load() {
		g.peak.Store(n)
	}
	return true
}

func (g *gate) release(now, took yuccahinge.Millis, ok bool, l *Limit) {
	g.inFlight.Add(-1)
	micros := int64(took * 1000)
	n := g.count.Add(1)
	if ok {
		g.lower(micros)
	}
	if from := g.slowMicros.Load(); !ok || (from > 0 && micros > from) {
		g.slow.Add(1)
	}
	opened := g.opened.Load()
	if opened == 0 {
		g.opened.CompareAndSwap(0, int64(now*1000))
		return
	}
	if n < windowSamples || now < yuccahinge.Millis(opened)/1000+windowMs {
		return
	}
	if g.mu.TryLock() {
		g.turn(now, l)
		g.mu.Unlock()
	}
}

// lower notes a latency if it is the lowest of its window.
func (g *gate) lower(micros int64) {
	for {
		low := g.lowMicros.Load()
		if low != 0 && low <= micros {
			return
		}
		if g.lowMicros.CompareAndSwap(low, max(1, micros)) {
			return
		}
	}
}

// turn closes the window and moves the bound.
func (g *gate) turn(now yuccahinge.Millis, l *Limit) {
	n := g.count.Swap(0)
	if n == 0 {
		return
	}
	low := float64(g.lowMicros.Swap(0)) / 1000
	slow := float64(g.slow.Swap(0)) / float64(n)
	peak := g.peak.Swap(g.inFlight.Load())
	g.opened.Store(int64(now * 1000))
	if low > 0 && (g.base == 0 || low < g.base) {
		g.base = low
	}
	g.bound.Store(g.next(slow > slowShare, peak, l))
	g.slowMicros.Store(int64((g.base*l.tolerance() + slackMs) * 1000))
}

// next returns the new bound and ages the uncongested latency.
func (g *gate) next(congested bool, peak int64, l *Limit) int64 {
	bound := float64(g.bound.Load())
	least := float64(l.minimum(g.service))
	switch {
	case congested && bound <= least:
		g.base *= baseLift
	case congested:
		// A bound far above what was in use would take many windows to be felt.
		bound = min(bound, float64(peak)) * decrease
	case float64(peak) >= bound*usedShare:
		g.base *= baseRise
		bound += max(1, bound*growth)
	default:
		g.base *= baseRise
	}
	return int64(min(max(bound, least), float64(l.maximum())))
}

const (
	// slowShare is the share of slow requests that counts as congestion. A mean would follow the few that
	// wait for a shard that is gone.
	slowShare = 0.5
	// usedShare is the share of the bound that must have been in use before it may grow.
	usedShare = 0.8
)
