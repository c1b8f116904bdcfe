package census

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
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
	if !own.Merge(600, other.Since(0)) || own.Len() != 2 || own.Services()["s"][1].ID != "c" {
		t.Fatalf("%v after the merge", own.Services())
	}
	if own.Merge(700, batch(3)) || own.Len() != 2 {
		t.Fatal("an older list changed something")
	}
}

func TestChangesOfOtherHostsAreSmallAndComplete(t *testing.T) {
	var reader, follower Census
	reader.Apply(0, batch(10, listed("a", 1, false), listed("b", 2, false), listed("c", 3, false)))
	follower.Merge(1, reader.Since(0))
	reader.Apply(2, batch(20, listed("a", 15, false), listed("b", 16, true), yuccahinge.Change{Key: "c", Revision: 17}))
	b := reader.Since(follower.Revision())
	if b.Whole || len(b.Changes) != 2 {
		t.Fatalf("%+v, want the draining b and the removed c", b)
	}
	if !follower.Merge(3, b) || follower.Len() != 2 || follower.Revision() != 20 {
		t.Fatalf("%v at %d", follower.Services(), follower.Revision())
	}
	if follower.Merge(4, reader.Since(follower.Revision())) {
		t.Fatal("nothing has changed since")
	}
}

// TestFollowerMatchesItsReader lets entries come, change, go and lapse, with outages, and compares a host that learns
// from a reader with the reader.
func TestFollowerMatchesItsReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower Census
		now := yuccahinge.Millis(1)
		revision := yuccahinge.Revision(1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += yuccahinge.Millis(rapid.IntRange(1, 900).Draw(t, "wait"))
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				reader.Apply(now, batch(revision, listed(key, revision, rapid.Bool().Draw(t, "draining"))))
			case 2:
				reader.Apply(now, batch(revision, yuccahinge.Change{Key: key, Revision: revision}))
			case 3:
				reader.Away()
			case 4:
				whole := batch(revision, listed(key, revision, false))
				whole.Whole = true
				reader.Apply(now, whole)
			case 5:
				reader.Expire(now)
			}
			if rapid.Bool().Draw(t, "follow") {
				follower.Merge(now, reader.Since(follower.Revision()))
				if !reflect.DeepEqual(follower.Services(), reader.Services()) {
					t.Fatalf("follower has %v, reader %v", follower.Services(), reader.Services())
				}
			}
		}
	})
}

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
