// Package hybrid provides a hybrid logical clock that orders events over processes.
package hybrid

import (
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// countBits is the width of the counter below the wall time in a packed stamp. A counter that overflows
// carries into the wall time, which keeps the order.
const countBits = 12

// maxWall bounds the wall time in a packed stamp, in microseconds: the year 2112.
const maxWall = 1 << (64 - countBits)

// Clock issues stamps that grow on this host and, through Observe, along every message that it receives.
// The zero value is ready to use; its methods take no lock.
type Clock struct {
	// last is the newest stamp: microseconds of wall time, then the counter.
	last atomic.Uint64
}

// Next returns a stamp above all stamps issued or observed before. The time now is in milliseconds;
// the stamp's wall part is in microseconds.
func (c *Clock) Next(now yuccahinge.Millis) yuccahinge.Stamp {
	wall := uint64(now*1000) << countBits
	for {
		last := c.last.Load()
		next := max(last+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}

// Observe raises the clock to a stamp received from another host. It ignores a wall time that no clock
// shows, which would otherwise stand in all later stamps of every host.
func (c *Clock) Observe(s yuccahinge.Stamp) {
	if s.Wall < 0 || s.Wall >= maxWall {
		return
	}
	seen := pack(s)
	for {
		last := c.last.Load()
		if last >= seen || c.last.CompareAndSwap(last, seen) {
			return
		}
	}
}

func pack(s yuccahinge.Stamp) uint64 {
	return uint64(s.Wall)<<countBits + uint64(s.Count)
}

func unpack(v uint64) yuccahinge.Stamp {
	return yuccahinge.Stamp{Wall: int64(v >> countBits), Count: uint32(v & (1<<countBits - 1))}
}
