// Package hybrid implements a hybrid logical clock that orders events across processes.
package hybrid

import (
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// countBits is the number of bits of the counter in a packed timestamp, below the wall time. A counter that overflows
// carries into the wall time, which preserves the order.
const countBits = 12

// maxWall is the upper limit of the wall time in a packed timestamp, in microseconds: the year 2112.
const maxWall = 1 << (64 - countBits)

// Clock issues increasing timestamps on this host; Observe makes them exceed the timestamps in received messages as well.
// The zero value is ready to use. Its methods take no lock and may be called concurrently.
type Clock struct {
	// last is the newest packed timestamp: microseconds of wall time, followed by the counter.
	last atomic.Uint64
}

// Next returns a timestamp greater than all timestamps issued or observed before. The time now is in milliseconds; the
// wall time of the timestamp is in microseconds.
func (c *Clock) Next(now yuccahinge.Millis) yuccahinge.Timestamp {
	wall := uint64(now*1000) << countBits
	for {
		last := c.last.Load()
		next := max(last+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}

// InRange reports whether the wall time of a timestamp is within the range of a packed timestamp.
func InRange(t yuccahinge.Timestamp) bool { return t.Wall >= 0 && t.Wall < maxWall }

// Observe advances the clock to a timestamp received from another host. It ignores a wall time outside the range of a
// packed timestamp, which would otherwise persist in all later timestamps of every host.
func (c *Clock) Observe(t yuccahinge.Timestamp) {
	if !InRange(t) {
		return
	}
	observed := pack(t)
	for {
		last := c.last.Load()
		if last >= observed || c.last.CompareAndSwap(last, observed) {
			return
		}
	}
}

func pack(t yuccahinge.Timestamp) uint64 {
	return uint64(t.Wall)<<countBits + uint64(t.Count)
}

func unpack(v uint64) yuccahinge.Timestamp {
	return yuccahinge.Timestamp{Wall: int64(v >> countBits), Count: uint32(v & (1<<countBits - 1))}
}
