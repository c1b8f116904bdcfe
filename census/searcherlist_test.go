package census

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func registration(key string, r yuccahinge.Revision, draining bool) yuccahinge.Change {
	return yuccahinge.Change{Key: key, Revision: r, Registration: &yuccahinge.Registration{
		ID: yuccahinge.SearcherID(key), Service: "s", Draining: draining,
	}}
}

func batch(r yuccahinge.Revision, changes ...yuccahinge.Change) *yuccahinge.ChangeBatch {
	return &yuccahinge.ChangeBatch{Revision: r, Changes: changes}
}

func TestHeartbeatsDoNotChangeList(t *testing.T) {
	var l SearcherList
	if !l.Apply(0, batch(1, registration("a", 1, false))) || l.Apply(1, batch(2, registration("a", 2, false))) {
		t.Fatal("Apply did not report a change for the new entry only")
	}
	if !l.Apply(2, batch(3, registration("a", 3, true))) {
		t.Fatal("Apply reported no change for a searcher that is draining")
	}
	if l.Apply(3, batch(3, registration("a", 2, false))) || !l.Services()["s"][0].Draining {
		t.Fatal("an older entry replaced a newer one")
	}
}

func TestRemovedEntriesAreDroppedAtOnce(t *testing.T) {
	var l SearcherList
	l.Apply(0, batch(1, registration("a", 1, false), registration("b", 1, false)))
	if !l.Apply(5, batch(2, yuccahinge.Change{Key: "a", Revision: 2})) || l.Len() != 1 {
		t.Fatal("a removed entry is still listed")
	}
	snapshot := batch(3, registration("c", 3, false))
	snapshot.Snapshot = true
	if !l.Apply(6, snapshot) || l.Len() != 1 || l.Services()["s"][0].ID != "c" {
		t.Fatalf("after a snapshot with only c Services = %v", l.Services())
	}
}

// TestExpiredEntriesStayForGracePeriod simulates an outage in which the platform drops both entries, and restores one
// of them afterwards.
func TestExpiredEntriesStayForGracePeriod(t *testing.T) {
	l := SearcherList{GraceMs: 2000}
	l.Apply(0, batch(1, registration("a", 1, false), registration("b", 1, false)))
	l.RecordOutage()
	afterOutage := batch(9)
	afterOutage.Snapshot = true
	if l.Apply(10_000, afterOutage) || l.Len() != 2 {
		t.Fatal("entries that expired during an outage were dropped at once")
	}
	l.Apply(11_000, batch(10, registration("a", 10, false)))
	if at, ok := l.NextExpiry(); !ok || at != 12_000 {
		t.Fatalf("NextExpiry = %v, %t, want 12000, true", at, ok)
	}
	if !l.Expire(12_000) || l.Len() != 1 || l.Services()["s"][0].ID != "a" {
		t.Fatalf("after the grace period Services = %v, want only a", l.Services())
	}
}

// TestMergeDuringOutage merges the list of a host that can still read the platform.
func TestMergeDuringOutage(t *testing.T) {
	var own, other SearcherList
	own.Apply(0, batch(1, registration("a", 1, false), registration("b", 1, false)))
	other.Apply(0, batch(1, registration("a", 1, false), registration("b", 1, false)))
	own.RecordOutage()
	other.Apply(500, batch(7, registration("c", 6, false), yuccahinge.Change{Key: "a", Revision: 7}))
	if !own.Merge(600, other.ChangesSince(yuccahinge.Position{})) || own.Len() != 2 || own.Services()["s"][1].ID != "c" {
		t.Fatalf("after the merge Services = %v, want b and c", own.Services())
	}
	if own.Merge(700, batch(3)) || own.Len() != 2 {
		t.Fatal("a batch with an older revision changed the list")
	}
}

func TestChangesSinceIsSmallAndComplete(t *testing.T) {
	var reader, follower SearcherList
	reader.Apply(0, batch(10, registration("a", 1, false), registration("b", 2, false), registration("c", 3, false)))
	follower.Merge(1, reader.ChangesSince(yuccahinge.Position{}))
	reader.Apply(2, batch(20, registration("a", 15, false), registration("b", 16, true), yuccahinge.Change{Key: "c", Revision: 17}))
	b := reader.ChangesSince(follower.Position())
	if b.Snapshot || len(b.Changes) != 2 {
		t.Fatalf("ChangesSince = %+v, want the draining b and the removed c", b)
	}
	if !follower.Merge(3, b) || follower.Len() != 2 || follower.Position().Revision != 20 {
		t.Fatalf("after the merge Services = %v at revision %d, want two searchers at 20", follower.Services(), follower.Position())
	}
	if follower.Merge(4, reader.ChangesSince(follower.Position())) {
		t.Fatal("Merge reported a change although nothing changed")
	}
}

// TestFollowerMatchesReader adds, changes, removes and expires entries, with outages. A host that merges from a reader
// must have the same list as the reader after each merge.
func TestFollowerMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower SearcherList
		now := yuccahinge.Millis(1)
		revision := yuccahinge.Revision(1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += yuccahinge.Millis(rapid.IntRange(1, 900).Draw(t, "wait"))
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				reader.Apply(now, batch(revision, registration(key, revision, rapid.Bool().Draw(t, "draining"))))
			case 2:
				reader.Apply(now, batch(revision, yuccahinge.Change{Key: key, Revision: revision}))
			case 3:
				reader.RecordOutage()
			case 4:
				snapshot := batch(revision, registration(key, revision, false))
				snapshot.Snapshot = true
				reader.Apply(now, snapshot)
			case 5:
				reader.Expire(now)
			}
			if rapid.Bool().Draw(t, "follow") {
				follower.Merge(now, reader.ChangesSince(follower.Position()))
				if !reflect.DeepEqual(follower.Services(), reader.Services()) {
					t.Fatalf("after a merge the follower has %v, the reader %v", follower.Services(), reader.Services())
				}
			}
		}
	})
}

// TestMain fixes the seed of the rapid tests unless the command line sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestOddEntryIsRemovedInTheGracePeriod guards against the use of a searcher whose entry was replaced by one that names none,
// in the time after an outage for which missing entries stay.
func TestOddEntryIsRemovedInTheGracePeriod(t *testing.T) {
	l := SearcherList{GraceMs: 2000}
	l.Apply(0, batch(1, registration("a", 1, false), registration("b", 1, false), registration("c", 1, false)))
	l.RecordOutage()
	snapshot := batch(9, yuccahinge.Change{Key: "a", Revision: 8, Problem: "odd"}, yuccahinge.Change{Revision: 9, Problem: "its key can't be read"})
	snapshot.Snapshot = true
	if !l.Apply(10_000, snapshot) || l.Len() != 2 {
		t.Errorf("%d searchers, want b and c, which are missing", l.Len())
	}
	if !l.Apply(10_100, batch(10, yuccahinge.Change{Key: "b", Revision: 10, Problem: "odd"})) || l.Len() != 1 {
		t.Errorf("%d searchers, want c", l.Len())
	}
}

// written returns the entry that a searcher wrote with a sequence number, at a revision.
func written(key string, r yuccahinge.Revision, sequence int64, draining bool) yuccahinge.Change {
	c := registration(key, r, draining)
	c.Registration.Generation, c.Registration.Sequence = 1, sequence
	return c
}

// TestPlatformRestoredFromACopy guards against a list that goes back to an older copy or misses the changes after it.
func TestPlatformRestoredFromACopy(t *testing.T) {
	l := SearcherList{GraceMs: 2000}
	first := batch(10, written("a", 5, 20, false), written("b", 6, 20, false), written("c", 7, 20, false), written("d", 8, 20, false))
	first.Epoch, first.Snapshot = 3, true
	l.Apply(0, first)
	later := batch(90, written("a", 85, 30, true), written("b", 84, 40, false), yuccahinge.Change{Key: "b", Revision: 86}, written("e", 87, 1, false), written("f", 88, 1, false), written("d", 89, 30, false))
	later.Epoch = 3
	l.Apply(1000, later)
	restored := batch(12, written("a", 11, 21, false), written("b", 12, 21, false), written("c", 7, 20, false), written("d", 9, 21, false))
	restored.Epoch, restored.Snapshot = 4, true
	l.Apply(2000, restored)
	check := func(when string, want string) {
		t.Helper()
		got := ""
		for _, r := range l.Services()["s"] {
			got += string(r.ID)
			if r.Draining {
				got += "-"
			}
		}
		if got != want {
			t.Errorf("%s: %s, want %s", when, got, want)
		}
	}
	check("after the return", "a-cdef")
	if p := l.Position(); p != (yuccahinge.Position{Epoch: 4, Revision: 12}) {
		t.Errorf("position %+v", p)
	}
	old := batch(95, written("c", 95, 99, true))
	old.Epoch = 3
	if l.Apply(2100, old); l.Merge(2100, old) {
		t.Error("a change from before the return was merged")
	}
	check("after a response from before the return", "a-cdef")
	next := batch(15, written("c", 13, 31, true), written("e", 14, 3, false), yuccahinge.Change{Key: "d", Revision: 15})
	next.Epoch = 4
	l.Apply(3000, next)
	check("after changes with lower revisions", "a-c-def")
	l.Expire(5100)
	check("after the grace period", "a-c-e")
	back := batch(17, written("b", 16, 41, false), written("a", 17, 31, false))
	back.Epoch = 4
	l.Apply(5200, back)
	check("after a searcher that was gone has written again", "abc-e")
	stepped := batch(19, written("a", 18, 2, true), written("d", 19, 2, false))
	stepped.Epoch = 4
	for i := range stepped.Changes {
		stepped.Changes[i].Registration.Generation = 0
	}
	l.Apply(5300, stepped)
	check("after restarts under an earlier time of day", "a-bc-de")
}

// TestFollowerMatchesReaderOverRestores guards against hosts whose lists differ for good after the platform was restored.
func TestFollowerMatchesReaderOverRestores(t *testing.T) {
	type data struct {
		revision yuccahinge.Revision
		entries  map[string]yuccahinge.Change
	}
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower SearcherList
		now, epoch, sequence := yuccahinge.Millis(1), yuccahinge.Epoch(1), int64(0)
		present := data{1, map[string]yuccahinge.Change{}}
		saved := data{1, map[string]yuccahinge.Change{}}
		snapshot := func() *yuccahinge.ChangeBatch {
			b := batch(present.revision)
			b.Epoch, b.Snapshot = epoch, true
			for _, c := range present.entries {
				b.Changes = append(b.Changes, c)
			}
			return b
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += yuccahinge.Millis(rapid.IntRange(1, 900).Draw(t, "wait"))
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			sequence++
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				present.revision++
				c := written(key, present.revision, sequence, rapid.Bool().Draw(t, "draining"))
				present.entries[key] = c
				b := batch(present.revision, c)
				b.Epoch = epoch
				reader.Apply(now, b)
			case 2:
				present.revision++
				delete(present.entries, key)
				b := batch(present.revision, yuccahinge.Change{Key: key, Revision: present.revision})
				b.Epoch = epoch
				reader.Apply(now, b)
			case 3:
				saved = data{present.revision, maps.Clone(present.entries)}
			case 4:
				present = data{saved.revision, maps.Clone(saved.entries)}
				epoch++
				reader.Apply(now, snapshot())
			case 5:
				reader.Apply(now, snapshot())
			}
			if rapid.Bool().Draw(t, "follow") {
				follower.Merge(now, reader.ChangesSince(follower.Position()))
			}
		}
		for range 2 {
			now += 2 * defaultGraceMs
			reader.Expire(now)
			follower.Expire(now)
			follower.Merge(now, reader.ChangesSince(follower.Position()))
		}
		if got, want := contentOf(&follower), contentOf(&reader); got != want {
			t.Fatalf("the follower has %s, the reader %s", got, want)
		}
		if follower.Position() != reader.Position() && epoch > 0 && reader.Len() > 0 {
			t.Fatalf("the follower is at %+v, the reader at %+v", follower.Position(), reader.Position())
		}
	})
}

// contentOf returns the searchers of a list and whether they drain.
func contentOf(l *SearcherList) string {
	out := ""
	for _, r := range l.Services()["s"] {
		out += fmt.Sprint(r.ID, r.Draining, " ")
	}
	return out
}

// TestReturnOfALapsedEntryReachesOtherHosts guards against a searcher that a host never lists again after an outage, since the host
// whose list it follows had kept the searcher all the time and sent no change.
func TestReturnOfALapsedEntryReachesOtherHosts(t *testing.T) {
	var reader, follower SearcherList
	first := batch(10, registration("a", 1, false), registration("b", 2, false))
	reader.Apply(0, first)
	follower.Merge(0, reader.ChangesSince(yuccahinge.Position{}))
	lapsed := batch(12, yuccahinge.Change{Key: "a", Revision: 11})
	for _, l := range []*SearcherList{&reader, &follower} {
		l.RecordOutage()
		l.Apply(5000, lapsed)
	}
	reader.Apply(6000, batch(14, registration("a", 13, false)))
	follower.Merge(7000, reader.ChangesSince(follower.Position()))
	follower.Expire(9000)
	if reader.Len() != 2 || follower.Len() != 2 {
		t.Errorf("the reader lists %d searchers, the follower %d, want 2", reader.Len(), follower.Len())
	}
}
