package swap

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func service() *yuccahinge.Service {
	shards := []yuccahinge.Shard{{ID: 0, Searchers: []yuccahinge.SearcherID{"a", "b"}}, {ID: 1, Searchers: []yuccahinge.SearcherID{"c"}}}
	searchers := map[yuccahinge.SearcherID]*yuccahinge.Searcher{"a": {}, "b": {}, "c": {}}
	return &yuccahinge.Service{
		VersionHoldMs: 1000,
		Index:         yuccahinge.Index{Version: 2, Shards: shards, Searchers: searchers},
		Previous:      &yuccahinge.Index{Version: 1, Shards: shards, Searchers: searchers},
	}
}

func TestSwitchWaitsForAReplicaOfEveryShard(t *testing.T) {
	var r Versions
	s := service()
	if r.Choose(10, "x", s).Version != 1 {
		t.Fatal("switched before any searcher reported its versions")
	}
	both := &yuccahinge.LoadReport{Versions: []yuccahinge.IndexVersion{1, 2}}
	r.RecordReport("b", both)
	if r.Choose(20, "x", s).Version != 1 {
		t.Fatal("switched although no searcher of shard 1 is known to hold the version")
	}
	if got := r.UnconfirmedSearchers("x", s); len(got) != 2 {
		t.Fatalf("searchers not known to hold the version: %v, want a and c", got)
	}
	r.RecordReport("c", both)
	if r.Choose(30, "x", s).Version != 2 {
		t.Fatal("did not switch although a replica of every shard holds the version")
	}
	r.RecordMissing("c", 2)
	if r.Choose(40, "x", s).Version != 2 {
		t.Fatal("switched back to the previous version")
	}
}

func TestHoldIsBounded(t *testing.T) {
	var r Versions
	s := service()
	r.Choose(10, "x", s)
	if r.Choose(1009, "x", s).Version != 1 || r.Choose(1010, "x", s).Version != 2 {
		t.Fatal("the switch did not happen exactly VersionHoldMs after the new index was first seen")
	}
}
