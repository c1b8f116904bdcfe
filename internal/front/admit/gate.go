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

// update moves the share towards the one at which requests take targetUsed of their time.
func (s *indexState) update(now yuccahinge.Millis, p yuccahinge.RequestLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareLocked(now)
	gain := min(float64(now-s.updatedAt)/adaptMs, maxGain)
	share *= max(math.Exp(gain*shareStep(p)), minFactor)
	s.refusedShare = 1 - min(max(share, minShare), 1)
	s.updatedAt = max(s.updatedAt, now)
}

// shareStep returns by how much a request changes the logarithm of the share, before the gain.
func shareStep(p yuccahinge.RequestLoad) float64 {
	switch {
	case p.TooManyRefused && p.TimeUsed >= 1:
		return shortStep
	case p.QueuedShare < minCrowded:
		return uncrowdedStep
	}
	step := 1 - p.TimeUsed/targetUsed
	if p.TimeUsed > targetUsed/2 {
		step = min(step, queueWeight*(1-p.QueuedShare/maxCrowded))
	}
	return min(max(step, minStep), maxStep)
}
