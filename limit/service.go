package limit

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// initialBound is the bound of a service before its first window ends.
	initialBound = 64
	// windowMs is the least length of a window of latency samples, after which the bound is adapted.
	windowMs yuccahinge.Millis = 100
	// windowSamples is the least number of requests in a window.
	windowSamples = 8
	// slackMs is added to the latency above which a request counts as slow, so that a few milliseconds never count as slow.
	slackMs = 5
	// decreaseFactor is the factor by which the bound falls in a congested window.
	decreaseFactor = 0.85
	// growthShare is the share by which the bound rises after a window in which at least usedShare of it was in use.
	growthShare = 0.1
	// uncongestedRise is the factor by which the uncongested latency rises in an uncongested window, so that old
	// samples expire.
	uncongestedRise = 1.0005
	// uncongestedRiseAtMin replaces uncongestedRise in a congested window at the lowest bound: queueing can't be the reason
	// for the latency.
	uncongestedRiseAtMin = 1.02
)

// serviceLimit bounds the requests in flight of one service. Admission uses atomics only; the lock is taken once per window.
type serviceLimit struct {
	service      yuccahinge.ServiceName
	inFlight     atomic.Int64
	bound        atomic.Int64
	peakInFlight atomic.Int64

	// The current window: lowestMicros is the lowest latency, sampleCount counts all requests, slowCount slow or failed ones.
	lowestMicros atomic.Int64
	sampleCount  atomic.Int64
	slowCount    atomic.Int64
	windowStart  atomic.Int64 // in microseconds; zero before the first request ends
	// slowMicros is the latency above which a request counts as slow; zero before the first window ends.
	slowMicros atomic.Int64

	mu            sync.Mutex
	uncongestedMs float64 // the uncongested latency in milliseconds
}

func (s *serviceLimit) admit() bool {
	n := s.inFlight.Add(1)
	if n > s.bound.Load() {
		s.inFlight.Add(-1)
		return false
	}
	if n > s.peakInFlight.Load() {
		s.peakInFlight.Store(n)
	}
	return true
}

func (s *serviceLimit) release(now, took yuccahinge.Millis, ok bool, l *Limiter) {
	s.inFlight.Add(-1)
	micros := int64(took * 1000)
	n := s.sampleCount.Add(1)
	if ok {
		s.recordLatency(micros)
	}
	if threshold := s.slowMicros.Load(); !ok || (threshold > 0 && micros > threshold) {
		s.slowCount.Add(1)
	}
	start := s.windowStart.Load()
	if start == 0 {
		s.windowStart.CompareAndSwap(0, int64(now*1000))
		return
	}
	if n < windowSamples || now < yuccahinge.Millis(start)/1000+windowMs {
		return
	}
	if s.mu.TryLock() {
		s.endWindow(now, l)
		s.mu.Unlock()
	}
}

// recordLatency updates the lowest latency of the window.
func (s *serviceLimit) recordLatency(micros int64) {
	for {
		low := s.lowestMicros.Load()
		if low != 0 && low <= micros {
			return
		}
		if s.lowestMicros.CompareAndSwap(low, max(1, micros)) {
			return
		}
	}
}

// endWindow adapts the bound to the current window and starts the next one. The caller holds the lock.
func (s *serviceLimit) endWindow(now yuccahinge.Millis, l *Limiter) {
	n := s.sampleCount.Swap(0)
	if n == 0 {
		return
	}
	low := float64(s.lowestMicros.Swap(0)) / 1000
	slow := float64(s.slowCount.Swap(0)) / float64(n)
	peak := s.peakInFlight.Swap(s.inFlight.Load())
	s.windowStart.Store(int64(now * 1000))
	if low > 0 && (s.uncongestedMs == 0 || low < s.uncongestedMs) {
		s.uncongestedMs = low
	}
	s.bound.Store(s.nextBound(slow > slowShare, peak, l))
	s.slowMicros.Store(int64((s.uncongestedMs*l.tolerance() + slackMs) * 1000))
}

// nextBound returns the new bound. It also raises the uncongested latency, except while congestion lowers the bound.
func (s *serviceLimit) nextBound(congested bool, peak int64, l *Limiter) int64 {
	bound := float64(s.bound.Load())
	least := float64(l.minimum(s.service))
	switch {
	case congested && bound <= least:
		s.uncongestedMs *= uncongestedRiseAtMin
	case congested:
		// Start from the number in use: lowering a bound far above it would have no effect for many windows.
		bound = min(bound, float64(peak)) * decreaseFactor
	case float64(peak) >= bound*usedShare:
		s.uncongestedMs *= uncongestedRise
		bound += max(1, bound*growthShare)
	default:
		s.uncongestedMs *= uncongestedRise
	}
	return int64(min(max(bound, least), float64(l.maximum())))
}

const (
	// slowShare is the share of slow requests above which a window is congested. The mean latency would be dominated by
	// the few requests that wait for a shard that is down.
	slowShare = 0.5
	// usedShare is the share of the bound that must be in use for the bound to rise.
	usedShare = 0.8
)
