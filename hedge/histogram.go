package hedge

import (
	"math"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// buckets is the number of buckets. The first ends at firstBucketMs, and each other one is a factor of 2^(1/4)
	// wide.
	buckets = 64
	// firstBucketMs is the upper bound of the first bucket in milliseconds.
	firstBucketMs = 0.1
	// bucketsPerOctave is the number of buckets in a factor of two.
	bucketsPerOctave = 4
	// halveAt is the number of samples at which all counts are halved, so that old samples lose weight.
	halveAt = 512
	// refreshEvery is the number of samples after which the cached delay is computed again.
	refreshEvery = 32
	// minSamples is the number of latency samples before the first hedge delay is computed.
	minSamples = 32
	// fenceFactor limits how far a delay may lie above the median, as a multiple of the distance from the median to
	// the upper quartile.
	fenceFactor = 4
)

// histogram counts the latencies of one shard or service. Updates and reads take no lock; a sample that is added
// during a halving may be lost, which hardly changes the quantile.
type histogram struct {
	counts [buckets]atomic.Uint32
	total  atomic.Uint32
	// cachedDelay holds the float64 bits of the last delay in milliseconds; zero for none.
	cachedDelay atomic.Uint64
}

func (h *histogram) add(took yuccahinge.Millis, quantile float64) {
	h.counts[bucketIndex(took)].Add(1)
	n := h.total.Add(1)
	if n%refreshEvery == 0 && n >= minSamples {
		h.cachedDelay.Store(math.Float64bits(h.delay(quantile)))
	}
	if n == halveAt {
		h.halveCounts()
	}
}

func (h *histogram) halveCounts() {
	var sum uint32
	for i := range h.counts {
		half := h.counts[i].Load() / 2
		h.counts[i].Store(half)
		sum += half
	}
	h.total.Store(sum)
}

// delay returns the quantile, limited by the fence above the median: stragglers and the calls that queue behind
// them raise a high quantile, and a later hedge would let them block others for longer.
func (h *histogram) delay(q float64) float64 {
	var counts [buckets]uint32
	var total uint32
	for i := range h.counts {
		counts[i] = h.counts[i].Load()
		total += counts[i]
	}
	median := quantile(&counts, total, 0.5)
	quartile := quantile(&counts, total, 0.75)
	return min(quantile(&counts, total, q), median+fenceFactor*(quartile-median))
}

// quantile interpolates linearly within the bucket that contains the quantile.
func quantile(counts *[buckets]uint32, total uint32, q float64) float64 {
	rank := q * float64(total)
	below := 0.0
	for i, n := range counts {
		if next := below + float64(n); next < rank || n == 0 {
			below = next
			continue
		}
		return lowerBound(i) + (upperBound(i)-lowerBound(i))*(rank-below)/float64(n)
	}
	return upperBound(buckets - 1)
}

func bucketIndex(took yuccahinge.Millis) int {
	if took <= firstBucketMs {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(took)/firstBucketMs)))
	return min(i, buckets-1)
}

func upperBound(i int) float64 { return firstBucketMs * math.Exp2(float64(i)/bucketsPerOctave) }

func lowerBound(i int) float64 {
	if i == 0 {
		return 0
	}
	return upperBound(i - 1)
}
