package hybrid

import (
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
