package mixer

import "testing"

// TestConsecutiveNumbersAreSpread counts how the results for consecutive numbers are spread over ten equal ranges.
func TestConsecutiveNumbersAreSpread(t *testing.T) {
	const n = 10_000
	var counts [10]int
	for i := range uint64(n) {
		u := Float64(i)
		if u < 0 || u >= 1 {
			t.Fatalf("Float64(%d) is %g, want [0, 1)", i, u)
		}
		counts[int(u*10)]++
	}
	for i, c := range counts {
		if c < n/10*9/10 || c > n/10*11/10 {
			t.Errorf("%d of %d results are in range %d, want a tenth within 10%%", c, n, i)
		}
	}
}

// TestBits fixes results of earlier versions, so that the choices made with them do not change.
func TestBits(t *testing.T) {
	for x, want := range map[uint64]uint64{0: 0, 1: 0x5692161d100b05e5, 0x9e3779b97f4a7c15: 0xe220a8397b1dcdaf} {
		if got := Bits(x); got != want {
			t.Errorf("Bits(%#x) is %#x, want %#x", x, got, want)
		}
	}
}
