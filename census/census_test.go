package census

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func listed(key string, r yuccahinge.Revision, draining bool) yuccahinge.Change {
	return yuccahinge.Change{Key: key, Revision: r, Listing: &yuccahinge.Listing{
		ID: yuccahinge.SearcherID(key), Service: "s", Draining: draining,
	}}
}

func batch(r yuccahinge.Revision, changes ...yuccahinge.Change) *yuccahinge.Batch {
	return &yuccahinge.Batch{Revision: r, Changes: changes}
}

func TestHeartbeatsAreNoChange(t *testing.T) {
	var c Census
	if !c.Apply(0, batch(1, listed("a", 1, false))) || c.Apply(1, batch(2, listed("a", 2, false))) {
		t.Fatal("a new entry is a change, its repetition is none")
	}
	if !c.Apply(2, batch(3, listed("a", 3, true))) {
		t.Fatal("draining is a change")
	}
	if c.Apply(3, batch(3, listed("a", 2, false))) || !c.Services()["s"][0].Draining {
		t.Fatal("an older entry took the place of a newer one")
	}
}

func TestRemovedEntriesAreGoneAtOnce(t *testing.T) {
	var c Census
	c.Apply(0, batch(1, listed("a", 1, false), listed("b", 1, false)))
	if !c.Apply(5, batch(2, yuccahinge.Change{Key: "a", Revision: 2})) || c.Len() != 1 {
		t.Fatal("a removed entry still counts")
	}
	whole := batch(3, listed("c", 3, false))
	whole.Whole = true
	if !c.Apply(6, whole) || c.Len() != 1 || c.Services()["s"][0].ID != "c" {
		t.Fatalf("%v after a whole list", c.Services())
	}
}

// TestLapsedEntriesCountUntilTheirGraceHasPassed plays an outage in which the platform dropped both entries, of which
// one comes back.
func TestLapsedEntriesCountUntilTheirGraceHasPassed(t *testing.T) {
	c := Census{GraceMs: 2000}
	c.Apply(0, batch(1, listed("a", 1, false), listed("b", 1, false)))
	c.Away()
	back := batch(9)
	back.Whole = true
	if c.Apply(10_000, back) || c.Len() != 2 {
		t.Fatal("entries that lapsed in an outage are gone at once")
	}
	c.Apply(11_000, batch(10, listed("a", 10, false)))
	if at, ok := c.Next(); !ok || at != 12_000 {
		t.Fatalf("next is %v, %t", at, ok)
	}
	if !c.Expire(12_000) || c.Len() != 1 || c.Services()["s"][0].ID != "a" {
		t.Fatalf("%v after the grace", c.Services())
	}
}

// TestListOfAnotherHostStandsInForThePlatform merges what a host knows that can still read the platform.
func TestListOfAnotherHostStandsInForThePlatform(t *testing.T) {
	var own, other Census
	own.Apply(0, batch(1, listed("a", 1, false), listed("b", 1, false)))
	other.Apply(0, batch(1, listed("a", 1, false), listed("b", 1, false)))
	own.Away()
	other.Apply(500, batch(7, listed("c", 6, false), yuccahinge.Change{Key: "a", Revision: 7}))
	if !own.Merge(600, other.Batch()) || own.Len() != 2 || own.Services()["s"][1].ID != "c" {
		t.Fatalf("%v after the merge", own.Services())
	}
	if own.Merge(700, batch(3)) || own.Len() != 2 {
		t.Fatal("an older list changed something")
	}
}
