package hedge

import (
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

// TestDelayNearOracle compares the delay with the quantile of the sorted samples: at most a bucket off.
func TestDelayNearOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Hedge
		h.Quantile = 0.9
		n := refreshEvery * rapid.IntRange(minSamples/refreshEvery, 20).Draw(t, "batches")
		samples := rapid.SliceOfN(rapid.Float64Range(1, 400), n, n).Draw(t, "samples")
		for _, s := range samples {
			h.Learn(0, "trainer", 1, yuccahinge.Millis(s))
		}
		slices.Sort(samples)
		want := samples[int(0.9*float64(n))-1]
		got, ok := h.Delay(0, "trainer", 1)
		if !ok || float64(got) < want/1.2 || float64(got) > samples[n-1]*1.2 {
			t.Fatalf("delay %g, %t, want near %g", got, ok, want)
		}
	})
}

func TestNoHedgeBeforeEnoughSamples(t *testing.T) {
	var h Hedge
	for range minSamples - 1 {
		h.Learn(0, "trainer", 1, 5)
	}
	if _, ok := h.Delay(0, "trainer", 1); ok {
		t.Fatal("hedged on too few samples")
	}
}

func TestForgetsOldLatencies(t *testing.T) {
	var h Hedge
	for range 2 * halveAt {
		h.Learn(0, "trainer", 1, 100)
	}
	for range 20 * halveAt {
		h.Learn(0, "trainer", 1, 5)
	}
	if d, _ := h.Delay(0, "trainer", 1); d > 7 {
		t.Fatalf("delay is still %g ms", d)
	}
}

func BenchmarkDelay(b *testing.B) {
	var h Hedge
	for range minSamples {
		h.Learn(0, "trainer", 1, 5)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Delay(0, "trainer", 1)
		}
	})
}

func BenchmarkLearn(b *testing.B) {
	var h Hedge
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Learn(0, "trainer", 1, 5)
		}
	})
}
