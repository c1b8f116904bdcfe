package route

import (
	"math"
	"sync/atomic"
)

// number is an atomic float64.
type number struct{ bits atomic.Uint64 }

func (n *number) load() float64 { return math.Float64frombits(n.bits.Load()) }

func (n *number) store(f float64) { n.bits.Store(math.Float64bits(f)) }
