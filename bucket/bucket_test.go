package bucket

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

func TestCallsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{
			PerSecond: rapid.Float64Range(0.5, 50).Draw(t, "rate"),
			Burst:     rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		var now, end yuccahinge.Millis
		calls := 0
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			now += yuccahinge.Millis(rapid.Float64Range(0, 500).Draw(t, "gap"))
			end = max(end, now+b.Reserve(now))
			calls++
		}
		allowed := b.Burst + b.PerSecond*float64(end/yuccahinge.Second) + 1e-6
		if float64(calls) > allowed {
			t.Fatalf("%d calls started by %v ms, want at most %v", calls, end, allowed)
		}
	})
}
