// Package mixer provides a bit mixer that spreads close numbers evenly, for random choices derived from an id or a counter.
package mixer

// Bits mixes x so that every bit of the result depends on all bits of x. It is the finalizer of SplitMix64.
func Bits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Float64 maps x to a number in [0, 1) by the mixed bits of x.
func Float64(x uint64) float64 { return float64(Bits(x)>>11) / (1 << 53) }
