package keeper

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestDrainSticksToTheIncarnation(t *testing.T) {
	k := &Keeper{Self: yuccahinge.Member{ID: "h1", Domain: "a", Incarnation: "l1"}, Clock: testClock{}}
	k.Living("s1", "x")
	k.Tell(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "x", TTLMs: 1000})
	if !k.Draining("s1") || k.Draining("s2") {
		t.Fatal("the searcher that leaves is not the one told of")
	}
	k.Living("s1", "x")
	if !k.Draining("s1") {
		t.Fatal("the searcher's own word of the same life took the drain back")
	}
	k.Living("s1", "y")
	if k.Draining("s1") {
		t.Fatal("the next life of the searcher is held for leaving")
	}
	k.Tell(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: "s1", Incarnation: "y", TTLMs: 1000})
	if !k.Draining("s1") {
		t.Fatal("the next life can not leave")
	}
}

func TestListedDrainOutlastsTheNextRead(t *testing.T) {
	k := &Keeper{}
	list := make([]yuccahinge.Member, 10700)
	list[0] = yuccahinge.Member{ID: "s1", Role: yuccahinge.RoleSearcher, Status: yuccahinge.StatusLeaving}
	between := k.listPause(len(list))
	notices := k.listedDrains(list)
	if len(notices) != 1 || notices[0].TTLMs < 2*between {
		t.Fatalf("%v with %v ms between two reads of the list", notices, between)
	}
}
