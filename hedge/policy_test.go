package hedge

import (
	"math"
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

// TestDelayNearOracle compares the delay with the one computed from the sorted samples, where each quantile may be
// off by one bucket.
func TestDelayNearOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Quantile: 0.9}
		n := refreshEvery * rapid.IntRange(minSamples/refreshEvery, halveAt/refreshEvery-1).Draw(t, "batches")
		samples := rapid.SliceOfN(rapid.Float64Range(1, 400), n, n).Draw(t, "samples")
		for _, s := range samples {
			p.RecordLatency(0, "trainer", 1, yuccahinge.Millis(s))
		}
		slices.Sort(samples)
		quantileOf := func(q float64) float64 { return samples[int(math.Ceil(q*float64(n)))-1] }
		median, quartile, high := quantileOf(0.5), quantileOf(0.75), quantileOf(0.9)
		const bucketRatio = 1.19
		lowest := min(high/bucketRatio, median/bucketRatio+fenceFactor*max(0, quartile/bucketRatio-median*bucketRatio))
		highest := min(high*bucketRatio, median*bucketRatio+fenceFactor*(quartile*bucketRatio-median/bucketRatio))
		got, ok := p.Delay(0, "trainer", 1)
		if !ok || float64(got) < lowest || float64(got) > highest {
			t.Fatalf("delay is %g, %t, want %g to %g and true", got, ok, lowest, highest)
		}
	})
}

func TestSlowShardDelayIsLimitedByService(t *testing.T) {
	var p Policy
	for i := range 100 * minSamples {
		shard := yuccahinge.ShardID(i % 20)
		took := yuccahinge.Millis(5)
		if shard == 3 {
			took = 300
		}
		p.RecordLatency(0, "trainer", shard, took)
	}
	if d, ok := p.Delay(0, "trainer", 3); !ok || d > 10 {
		t.Fatalf("delay is %g, %t, want at most 10 and true", d, ok)
	}
}

func TestNoDelayBeforeMinSamples(t *testing.T) {
	var p Policy
	for range minSamples - 1 {
		p.RecordLatency(0, "trainer", 1, 5)
	}
	if _, ok := p.Delay(0, "trainer", 1); ok {
		t.Fatal("Delay returned true on too few samples")
	}
}

func TestOldLatenciesLoseWeight(t *testing.T) {
	var p Policy
	for range 2 * halveAt {
		p.RecordLatency(0, "trainer", 1, 100)
	}
	for range 20 * halveAt {
		p.RecordLatency(0, "trainer", 1, 5)
	}
	if d, _ := p.Delay(0, "trainer", 1); d > 7 {
		t.Fatalf("delay is still %g ms, want at most 7", d)
	}
}

func BenchmarkDelay(b *testing.B) {
	var p Policy
	for range minSamples {
		p.RecordLatency(0, "trainer", 1, 5)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p.Delay(0, "trainer", 1)
		}
	})
}

func BenchmarkRecordLatency(b *testing.B) {
	var p Policy
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p.RecordLatency(0, "trainer", 1, 5)
		}
	})
}
