package ready

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

func TestSwitchWaitsForEveryShard(t *testing.T) {
	var r Ready
	s := service()
	if r.Choose(10, "x", s).Version != 1 {
		t.Fatal("switched while nothing was known")
	}
	both := &yuccahinge.LoadReport{Versions: []yuccahinge.IndexVersion{1, 2}}
	r.Observe("b", both)
	if r.Choose(20, "x", s).Version != 1 {
		t.Fatal("switched with a shard that nobody holds")
	}
	if got := r.Unknown("x", s); len(got) != 2 {
		t.Fatalf("unknown are %v", got)
	}
	r.Observe("c", both)
	if r.Choose(30, "x", s).Version != 2 {
		t.Fatal("did not switch when every shard was held")
	}
	r.Lacks("c", 2)
	if r.Choose(40, "x", s).Version != 2 {
		t.Fatal("switched back")
	}
}

func TestHoldIsBounded(t *testing.T) {
	var r Ready
	s := service()
	r.Choose(10, "x", s)
	if r.Choose(1009, "x", s).Version != 1 || r.Choose(1010, "x", s).Version != 2 {
		t.Fatal("the hold did not end after VersionHoldMs")
	}
}
