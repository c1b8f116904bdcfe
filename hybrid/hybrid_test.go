package hybrid

import (
	"sync"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestNextIncreasesWhenTimeStops(t *testing.T) {
	var c Clock
	first := c.Next(5)
	second := c.Next(5)
	if !first.Before(second) {
		t.Fatalf("timestamp %v is not before %v", first, second)
	}
}

func TestNextExceedsObserved(t *testing.T) {
	var c Clock
	observed := yuccahinge.Timestamp{Wall: 9_000_000, Count: 3}
	c.Observe(observed)
	if got := c.Next(5); !observed.Before(got) {
		t.Fatalf("timestamp %v is not after the observed %v", got, observed)
	}
}

func TestTimestampsAreUniqueUnderConcurrency(t *testing.T) {
	const goroutines, timestampsEach = 8, 5000
	var c Clock
	var wg sync.WaitGroup
	got := make([][]yuccahinge.Timestamp, goroutines)
	for i := range got {
		wg.Go(func() {
			for range timestampsEach {
				got[i] = append(got[i], c.Next(7))
			}
		})
	}
	wg.Wait()
	seen := make(map[yuccahinge.Timestamp]bool)
	for _, timestamps := range got {
		for i, s := range timestamps {
			if i > 0 && !timestamps[i-1].Before(s) {
				t.Fatalf("timestamp %v is not before %v", timestamps[i-1], s)
			}
			if seen[s] {
				t.Fatalf("timestamp %v was issued twice", s)
			}
			seen[s] = true
		}
	}
}

func TestObserveIgnoresWallTimeOutOfRange(t *testing.T) {
	var c Clock
	for _, wall := range []int64{-1, maxWall, 1 << 60} {
		c.Observe(yuccahinge.Timestamp{Wall: wall})
	}
	if got := c.Next(5); got != (yuccahinge.Timestamp{Wall: 5000}) {
		t.Fatalf("timestamp is %v, want the clock's own time", got)
	}
}
