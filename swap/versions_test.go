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
	var vs Versions
	s := service()
	if vs.Choose(10, "x", s).Version != 1 {
		t.Fatal("switched before any searcher reported its versions")
	}
	both := &yuccahinge.LoadReport{Versions: []yuccahinge.IndexVersion{1, 2}}
	vs.RecordReport("b", both)
	if vs.Choose(20, "x", s).Version != 1 {
		t.Fatal("switched although no searcher of shard 1 is known to hold the version")
	}
	if got := vs.UnconfirmedSearchers("x", s); len(got) != 2 {
		t.Fatalf("searchers not known to hold the version: %v, want a and c", got)
	}
	vs.RecordReport("c", both)
	if vs.Choose(30, "x", s).Version != 2 {
		t.Fatal("did not switch although a replica of every shard holds the version")
	}
	vs.RecordMissing("c", 2)
	if vs.Choose(40, "x", s).Version != 2 {
		t.Fatal("switched back to the previous version")
	}
}

func TestHoldIsBounded(t *testing.T) {
	var vs Versions
	s := service()
	vs.Choose(10, "x", s)
	if vs.Choose(1009, "x", s).Version != 1 || vs.Choose(1010, "x", s).Version != 2 {
		t.Fatal("the switch did not happen exactly VersionHoldMs after the new index was first seen")
	}
}
