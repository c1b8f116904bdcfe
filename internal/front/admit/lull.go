package admit

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// flow counts the arrivals of a host over all indexes. The zero value is ready to use.
type flow struct {
	mu    sync.Mutex
	rate  float64 // in requests a second
	at    yuccahinge.Millis
	count float64
}

// add counts an arrival.
func (f *flow) add(now yuccahinge.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	f.rate += 1000 / arrivalsMs
	f.count++
}

// read returns the rate and the number of arrivals.
func (f *flow) read(now yuccahinge.Millis) (rate, count float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	return f.rate, f.count
}

func (f *flow) decay(now yuccahinge.Millis) {
	f.rate *= math.Exp(-max(0, float64(now-f.at)) / arrivalsMs)
	f.at = max(f.at, now)
}

// referenceMs is the time constant with which the rate of a reference falls, so that a request which ends after a burst doesn't
// hide that the burst is over.
const referenceMs = 5000.0

// reference is the rate and the number of arrivals at an instant. The rate is that of the last seconds, if it was higher.
type reference struct {
	rate, count float64
}

// next returns the reference after a time.
func (r reference) next(age, rate, count float64) reference {
	return reference{max(rate, r.rate*math.Exp(-age/referenceMs)), count}
}

// missing returns how many fewer than half of the expected requests have arrived in a time, less minMissing; zero if there are as many
// or the time is too short to tell.
func (r reference) missing(age, count float64) float64 {
	if age < lullMs {
		return 0
	}
	return max(0, r.rate*age/1000-2*(count-r.count)-minMissing)
}
