package admit

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// indexState holds the admitted share of the requests over one index.
type indexState struct {
	mu sync.Mutex
	// refusedShare is the share that is not admitted, as of updatedAt. Zero admits all.
	refusedShare float64
	updatedAt    yuccahinge.Millis
	// own and host are the arrivals for this index and for all at updatedAt.
	own, host reference
	arrived   float64 // requests for this index
	arrivals  arrivals
	signals   signals
}

// admit counts the arrival of a request and returns the share of requests to admit, of all and of the request's class.
func (s *indexState) admit(now yuccahinge.Millis, c class, host *flow) (all, ofClass float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.add(now, c)
	share := s.shareLocked(now, host)
	s.arrived++
	if share >= admitAllShare {
		return share, 1
	}
	return share, s.arrivals.admitted(share, c)
}

// share returns the share of requests to admit. It rises with time while no admitted request ends, and at once if so few requests
// arrive that the burst seems to be over: other hosts then get fewer as well.
func (s *indexState) share(now yuccahinge.Millis, host *flow) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shareLocked(now, host)
}

// urgentShare returns the share of the most urgent requests to admit.
func (s *indexState) urgentShare(now yuccahinge.Millis, host *flow) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareLocked(now, host)
	if urgent, _ := s.arrivals.mostUrgent(); urgent >= 0 && share < admitAllShare {
		return s.arrivals.admitted(share, class{rank: urgent})
	}
	return share
}

func (s *indexState) shareLocked(now yuccahinge.Millis, host *flow) float64 {
	age := max(0, float64(now-s.updatedAt))
	// The mean time between admitted requests. Without one for much longer, the searchers may have room again.
	interval := 0.0
	if s.own.rate > 0 {
		interval = 1000 / max((1-s.refusedShare)*s.own.rate, minAdmittedRate)
	}
	idle := max(0, age-max(idleMs, 2*interval))
	missing := s.own.missing(age, s.arrived)
	if s.refusedShare > 0 && 2*(s.arrived-s.own.count) <= s.own.rate*age/1000 {
		// A host that gets few requests for this index sees sooner by all of its requests that a burst is over.
		_, count := host.read(now)
		missing = max(missing, s.host.missing(age, count))
	}
	return 1 - s.refusedShare*math.Exp2(-idle/max(refusedHalfLifeMs, interval)-missing)
}

// updateShare moves the share towards the one at which requests take the target share of their time.
func (s *indexState) updateShare(now yuccahinge.Millis, load yuccahinge.RequestLoad, host *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareLocked(now, host)
	age := max(0, float64(now-s.updatedAt))
	gain := min(float64(now-s.updatedAt)/adaptMs, maxGain)
	rank := rankOf(load.Priority)
	step := s.signals.combine(now, rank, shareStep(load, s.signals.target(now, rank)))
	step = s.arrivals.protectUrgent(share, rank, step)
	share += s.arrivals.marginal(share) * (max(math.Exp(gain*step), minFactor) - 1)
	s.refusedShare = 1 - min(max(share, minShare), 1)
	s.updatedAt = max(s.updatedAt, now)
	s.own = s.own.next(age, s.arrivals.total(now), s.arrived)
	rate, count := host.read(now)
	s.host = s.host.next(age, rate, count)
}

// shareStep returns by how much a request changes the logarithm of the share, before the gain.
func shareStep(load yuccahinge.RequestLoad, target float64) float64 {
	switch {
	case load.TooManyRefused && load.TimeUsed >= 1:
		return tooManyRefusedStep
	case load.QueuedShare < minQueued:
		return unqueuedStep
	}
	step := 1 - load.TimeUsed/target
	if load.TimeUsed > target/2 {
		step = min(step, queueWeight*(1-load.QueuedShare/maxQueued))
	}
	return min(max(step, minStep), maxStep)
}
