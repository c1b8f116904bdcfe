package syncer

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestDrainAppliesToOneIncarnation(t *testing.T) {
	k := &Syncer{Self: yuccahinge.Member{ID: "h1", Domain: "a", Incarnation: "l1"}, Clock: testClock{}}
	k.SetIncarnation("s1", "x")
	k.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "x", TTLMs: 1000})
	if !k.Draining("s1") || k.Draining("s2") {
		t.Fatal("Draining is not true for s1 only, which the notice names")
	}
	k.SetIncarnation("s1", "x")
	if !k.Draining("s1") {
		t.Fatal("setting the same incarnation again cleared the draining notice")
	}
	k.SetIncarnation("s1", "y")
	if k.Draining("s1") {
		t.Fatal("a new incarnation counts as draining by the notice for the old one")
	}
	k.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "y", TTLMs: 1000})
	if !k.Draining("s1") {
		t.Fatal("a draining notice for the new incarnation has no effect")
	}
}

func TestListedDrainOutlastsTheNextRead(t *testing.T) {
	k := &Syncer{}
	list := make([]yuccahinge.Member, 10700)
	list[0] = yuccahinge.Member{ID: "s1", Role: yuccahinge.RoleSearcher, Status: yuccahinge.StatusLeaving}
	between := k.listPause(len(list))
	notices := k.listedDrains(list)
	if len(notices) != 1 || notices[0].TTLMs < 2*between {
		t.Fatalf("notices are %v, want one with a TTL of at least twice the %v ms between two reads of the list", notices, between)
	}
}
