package hybrid

import (
	"sync"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestNextGrowsWhenTimeStandsStill(t *testing.T) {
	var c Clock
	first := c.Next(5)
	second := c.Next(5)
	if !first.Before(second) {
		t.Fatalf("stamp %v is not before %v", first, second)
	}
}

func TestNextIsAboveObserved(t *testing.T) {
	var c Clock
	seen := yuccahinge.Stamp{Wall: 9_000_000, Count: 3}
	c.Observe(seen)
	if got := c.Next(5); !seen.Before(got) {
		t.Fatalf("stamp %v is not above the observed %v", got, seen)
	}
}

func TestStampsAreUniqueUnderConcurrency(t *testing.T) {
	const routines, each = 8, 5000
	var c Clock
	var wg sync.WaitGroup
	got := make([][]yuccahinge.Stamp, routines)
	for i := range got {
		wg.Go(func() {
			for range each {
				got[i] = append(got[i], c.Next(7))
			}
		})
	}
	wg.Wait()
	seen := make(map[yuccahinge.Stamp]bool)
	for _, stamps := range got {
		for i, s := range stamps {
			if i > 0 && !stamps[i-1].Before(s) {
				t.Fatalf("stamp %v is not before %v", stamps[i-1], s)
			}
			if seen[s] {
				t.Fatalf("stamp %v was issued twice", s)
			}
			seen[s] = true
		}
	}
}

func TestObserveIgnoresImpossibleTimes(t *testing.T) {
	var c Clock
	for _, wall := range []int64{-1, maxWall, 1 << 60} {
		c.Observe(yuccahinge.Stamp{Wall: wall})
	}
	if got := c.Next(5); got != (yuccahinge.Stamp{Wall: 5000}) {
		t.Fatalf("stamp is %v, want the clock's own time", got)
	}
}
