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
}

// share returns the share of requests to admit. It rises with time while no admitted request ends.
func (s *indexState) share(now yuccahinge.Millis) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shareLocked(now)
}

func (s *indexState) shareLocked(now yuccahinge.Millis) float64 {
	idle := max(0, float64(now-s.updatedAt)-idleMs)
	return 1 - s.refusedShare*math.Exp2(-idle/refusedHalfLifeMs)
}

// updateShare moves the share towards the one at which requests take targetTimeUsed of their time.
func (s *indexState) updateShare(now yuccahinge.Millis, load yuccahinge.RequestLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareLocked(now)
	gain := min(float64(now-s.updatedAt)/adaptMs, maxGain)
	share *= max(math.Exp(gain*shareStep(load)), minFactor)
	s.refusedShare = 1 - min(max(share, minShare), 1)
	s.updatedAt = max(s.updatedAt, now)
}

// shareStep returns by how much a request changes the logarithm of the share, before the gain.
func shareStep(load yuccahinge.RequestLoad) float64 {
	switch {
	case load.TooManyRefused && load.TimeUsed >= 1:
		return tooManyRefusedStep
	case load.QueuedShare < minQueued:
		return unqueuedStep
	}
	step := 1 - load.TimeUsed/targetTimeUsed
	if load.TimeUsed > targetTimeUsed/2 {
		step = min(step, queueWeight*(1-load.QueuedShare/maxQueued))
	}
	return min(max(step, minStep), maxStep)
}
