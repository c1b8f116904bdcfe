package hedge

import (
	"math"
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

// TestDelayNearOracle compares the delay with the rule on the sorted samples, each quantile at most a
// bucket off.
func TestDelayNearOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Hedge{Quantile: 0.9}
		n := refreshEvery * rapid.IntRange(minSamples/refreshEvery, halveAt/refreshEvery-1).Draw(t, "batches")
		samples := rapid.SliceOfN(rapid.Float64Range(1, 400), n, n).Draw(t, "samples")
		for _, s := range samples {
			h.Learn(0, "trainer", 1, yuccahinge.Millis(s))
		}
		slices.Sort(samples)
		at := func(q float64) float64 { return samples[int(math.Ceil(q*float64(n)))-1] }
		median, quartile, high := at(0.5), at(0.75), at(0.9)
		const bucket = 1.19
		low := min(high/bucket, median/bucket+fence*max(0, quartile/bucket-median*bucket))
		top := min(high*bucket, median*bucket+fence*(quartile*bucket-median/bucket))
		got, ok := h.Delay(0, "trainer", 1)
		if !ok || float64(got) < low || float64(got) > top {
			t.Fatalf("delay %g, %t, want %g to %g", got, ok, low, top)
		}
	})
}

func TestBlockedShardIsMeasuredAgainstItsService(t *testing.T) {
	var h Hedge
	for i := range 100 * minSamples {
		shard := yuccahinge.ShardID(i % 20)
		took := yuccahinge.Millis(5)
		if shard == 3 {
			took = 300
		}
		h.Learn(0, "trainer", shard, took)
	}
	if d, ok := h.Delay(0, "trainer", 3); !ok || d > 10 {
		t.Fatalf("delay %g, %t", d, ok)
	}
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
