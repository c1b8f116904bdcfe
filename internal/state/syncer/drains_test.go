package syncer

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestDrainAppliesToOneIncarnation(t *testing.T) {
	h := &Syncer{Self: yuccahinge.Member{ID: "h1", Domain: "a", Incarnation: "l1"}, Clock: testClock{}}
	h.SetIncarnation("s1", "x")
	h.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "x", TTLMs: 1000})
	if !h.Draining("s1") || h.Draining("s2") {
		t.Fatal("Draining is not true for s1 only, which the notice names")
	}
	h.SetIncarnation("s1", "x")
	if !h.Draining("s1") {
		t.Fatal("setting the same incarnation again cleared the draining notice")
	}
	h.SetIncarnation("s1", "y")
	if h.Draining("s1") {
		t.Fatal("a new incarnation counts as draining by the notice for the old one")
	}
	h.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "y", TTLMs: 1000})
	if !h.Draining("s1") {
		t.Fatal("a draining notice for the new incarnation has no effect")
	}
}

func TestListedDrainOutlastsTheNextRead(t *testing.T) {
	h := &Syncer{}
	list := make([]yuccahinge.Member, 10700)
	list[0] = yuccahinge.Member{ID: "s1", Role: yuccahinge.RoleSearcher, Status: yuccahinge.StatusLeaving}
	between := h.listInterval(len(list))
	notices := h.listedDrains(list)
	if len(notices) != 1 || notices[0].TTLMs < 2*between {
		t.Fatalf("notices are %v, want one with a TTL of at least twice the %v ms between two reads of the list", notices, between)
	}
}
