package admit

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// signalMs is the time constant with which the steps of the requests of one rank are averaged.
	signalMs = 300.0
	// lessUrgentTarget is targetTimeUsed for requests beside more urgent ones.
	lessUrgentTarget = 0.4
	// signalValidMs is how long the average counts after the last request of the rank.
	signalValidMs = 1000.0
)

// signals holds the average steps of the requests of each rank. Requests with a long objective are on time with queues at which
// those with a short one are late.
type signals [maxRank + 1]struct {
	step float64
	at   yuccahinge.Millis
}

// combine records the step of a request and returns the one to take. The share doesn't rise while the requests of another rank
// call for a smaller one.
func (s *signals) combine(now yuccahinge.Millis, rank int, step float64) float64 {
	own := &s[rank]
	weight := 1 - math.Exp(-max(0, float64(now-own.at))/signalMs)
	own.step += weight * (step - own.step)
	own.at = max(own.at, now)
	for i := range s {
		if i != rank && s[i].at > 0 && now < s[i].at+signalValidMs && s[i].step < 0 {
			step = min(step, 0)
		}
	}
	return step
}

// target returns the share of its time that a request of a rank should take. It is smaller if more urgent requests have ended
// recently: less urgent ones then leave them room in the queues.
func (s *signals) target(now yuccahinge.Millis, rank int) float64 {
	for i := range s[:rank] {
		if s[i].at > 0 && now < s[i].at+signalValidMs {
			return lessUrgentTarget
		}
	}
	return targetTimeUsed
}
