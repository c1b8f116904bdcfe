package assess

import (
	"math"
	"sync"
)

const (
	// referenceWeight is the weight of a new sample in the mean of a group and in its spread.
	referenceWeight = 0.005
	// minReferenceSamples is the number of samples of a group from which its searchers are compared with it.
	minReferenceSamples = 50
	// maxDeviation bounds the logarithm of the ratio of a sample to its expectation, so that pauses change estimates little.
	maxDeviation = 0.4
)

// group holds what the searchers of an index in one failure domain have in common. Logarithms are natural ones of milliseconds.
type group struct {
	slots int

	mu sync.Mutex
	// mean is the mean of the logarithms of the latencies at low load, and spread the mean deviation from what is expected.
	mean, spread float64
	count        int
}

// expected returns the expected logarithm of a latency at low load and the spread around it. It reports false while too few samples
// are known.
func (g *group) expected() (mean, spread float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean, g.spread, g.count >= minReferenceSamples
}

// add adds the logarithm of a latency at low load, at a searcher whose relative latency has the logarithm relative.
func (g *group) add(sample, relative float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	weight, d := max(1/float64(g.count), referenceWeight), sample-g.mean
	g.spread += weight * (math.Abs(d-relative) - g.spread)
	if g.count > minReferenceSamples {
		d = max(-maxDeviation, min(d, maxDeviation))
	}
	g.mean += weight * d
}
