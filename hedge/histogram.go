package hedge

import (
	"math"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// buckets is the number of buckets, each a factor of 2^(1/4) wide; the first ends at floorMs.
	buckets = 64
	// floorMs is the upper end of the first bucket in milliseconds.
	floorMs = 0.1
	// perOctave is the number of buckets in a factor of two.
	perOctave = 4
	// halveAt is the number of samples at which all counts are halved, so that old ones lose weight.
	halveAt = 512
	// refreshEvery is the number of samples after which the quantile is read anew.
	refreshEvery = 32
	// minSamples is the number of samples before the first quantile.
	minSamples = 32
	// fence is how far above the median a delay may lie, as a multiple of the distance from the median to
	// the upper quartile.
	fence = 4
)

// histogram counts latencies of one shard. Updates and reads take no lock; a sample that meets a halving
// may be lost, which the quantile does not notice.
type histogram struct {
	counts [buckets]atomic.Uint32
	total  atomic.Uint32
	// cached holds the bits of the last quantile in milliseconds, zero for none.
	cached atomic.Uint64
}

func (h *histogram) add(took yuccahinge.Millis, quantile float64) {
	h.counts[bucket(took)].Add(1)
	n := h.total.Add(1)
	if n%refreshEvery == 0 && n >= minSamples {
		h.cached.Store(math.Float64bits(h.delay(quantile)))
	}
	if n == halveAt {
		h.halve()
	}
}

func (h *histogram) halve() {
	var sum uint32
	for i := range h.counts {
		half := h.counts[i].Load() / 2
		h.counts[i].Store(half)
		sum += half
	}
	h.total.Store(sum)
}

// delay returns the quantile, or the fence if that is lower: stragglers and the calls that queue behind
// them raise a high quantile, and a later hedge would leave them in the way for longer.
func (h *histogram) delay(q float64) float64 {
	var counts [buckets]uint32
	var total uint32
	for i := range h.counts {
		counts[i] = h.counts[i].Load()
		total += counts[i]
	}
	median := quantile(&counts, total, 0.5)
	quartile := quantile(&counts, total, 0.75)
	return min(quantile(&counts, total, q), median+fence*(quartile-median))
}

// quantile interpolates within the bucket that holds it.
func quantile(counts *[buckets]uint32, total uint32, q float64) float64 {
	rank := q * float64(total)
	below := 0.0
	for i, n := range counts {
		if next := below + float64(n); next < rank || n == 0 {
			below = next
			continue
		}
		return lower(i) + (upper(i)-lower(i))*(rank-below)/float64(n)
	}
	return upper(buckets - 1)
}

func bucket(took yuccahinge.Millis) int {
	if took <= floorMs {
		return 0
	}
	i := int(math.Ceil(perOctave * math.Log2(float64(took)/floorMs)))
	return min(i, buckets-1)
}

func upper(i int) float64 { return floorMs * math.Exp2(float64(i)/perOctave) }

func lower(i int) float64 {
	if i == 0 {
		return 0
	}
	return upper(i - 1)
}
