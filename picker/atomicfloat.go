package picker

import (
	"math"
	"sync/atomic"
)

// atomicFloat is a float64 that is read and written atomically. The zero value holds 0.
type atomicFloat struct{ bits atomic.Uint64 }

func (n *atomicFloat) load() float64 { return math.Float64frombits(n.bits.Load()) }

func (n *atomicFloat) store(f float64) { n.bits.Store(math.Float64bits(f)) }
