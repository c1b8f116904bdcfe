package assess

import "math"

const (
	// levels is the number of load levels up to all slots busy for which the latency is estimated.
	levels = 8
	// levelWeight is the weight of a new sample in the latency at a load level.
	levelWeight = 0.1
	// minLevelSamples is the number of samples from which the latency at a load level is used.
	minLevelSamples = 10
	// lostThroughput is the share of throughput that a load level must lose against a lower one to be above the capacity.
	lostThroughput = 0.1
	// minSlots is the number of slots from which a capacity below all slots is estimated. With fewer, most calls beside another one have
	// waited for a slot, which looks like a slowdown.
	minSlots = 4
	// maxFirstSlowdown bounds the logarithm of the ratio of each of the first samples at a load level to the latency at low load, and
	// maxChange that of a later one to the estimate. A pause of a searcher delays single calls by many times.
	maxFirstSlowdown = 1.5
	maxChange        = 0.5
)

// curve is the latency of a searcher by its load.
type curve struct {
	// slowdown holds, for each level above half of the slots, the logarithm of the ratio of the latency there to the one at low load.
	slowdown [levels + 1]float64
	count    [levels + 1]int
	// capacity is the number of running calls up to which the throughput grows; zero means all slots.
	capacity int
}

// level returns the load level of a number of running calls.
func level(running, slots int) int { return min((running*levels+slots-1)/slots, levels) }

// isLow reports whether a searcher runs a number of calls about as fast as one. A single call always counts as low.
func isLow(running, slots int) bool { return running <= 1 || 2*running <= slots }

// add adds the logarithm of the ratio of a latency to the one at low load.
func (c *curve) add(running, slots int, slowdown float64) {
	n := level(running, slots)
	c.count[n]++
	d := max(-maxFirstSlowdown, min(slowdown, maxFirstSlowdown)) - c.slowdown[n]
	if c.count[n] > minLevelSamples {
		d = max(-maxChange, min(d, maxChange))
	}
	c.slowdown[n] += max(1/float64(c.count[n]), levelWeight) * d
	if slots >= minSlots && c.count[n] >= minLevelSamples {
		c.updateCapacity(slots)
	}
}

// updateCapacity sets the capacity to the largest number of running calls at which the throughput isn't clearly below that of a
// smaller number. A level of which little is known counts like the one below it.
func (c *curve) updateCapacity(slots int) {
	best, falls := 0.0, false
	for running := 1; running <= slots; running++ {
		throughput, n := float64(running), level(running, slots)
		if isLow(running, slots) {
			best = throughput
		} else if c.count[n] >= minLevelSamples {
			throughput /= math.Exp(max(0, c.slowdown[n]))
			falls = throughput < best*(1-lostThroughput)
			best = max(best, throughput)
		}
		if !falls {
			c.capacity = running
		}
	}
}

// limit returns the number of running calls up to which the searcher works well.
func (c *curve) limit(slots int) int {
	if c.capacity > 0 {
		return c.capacity
	}
	return slots
}
