package fleet

import (
	"context"
	"testing"

	"golang.org/x/sync/errgroup"
)

func TestStateCoversAllHashSlots(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	plan := Plans()[0]
	plan.FanOut = 4
	f := &Fleet{Plan: plan}
	if err := f.Start(ctx, group, 1); err != nil {
		t.Fatal(err)
	}
	state := f.State("a", 2, 6)
	service := state.Services[plan.Service]
	var next uint32
	for _, s := range service.Index.Shards {
		if s.From != next || len(s.Searchers) != plan.Replicas {
			t.Fatalf("shard %+v, want every replica and a range of hash slots from %d", s, next)
		}
		next = s.To
	}
	if next != 65536 || service.Previous.Version != 1 || len(service.Previous.Shards) != 4 {
		t.Fatalf("hash slots end at %d, want 65536; previous index is %+v", next, service.Previous)
	}
	for _, s := range f.Searchers {
		direct := service.Index.Searchers[s.ID].Addr == s.Addr()
		if direct != (s.Domain == "a") {
			t.Fatalf("searcher %s of domain %s: direct address is %v, want it in domain a only", s.ID, s.Domain, direct)
		}
	}
	stop()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

func TestReplicasAreInDifferentDomains(t *testing.T) {
	for _, p := range Plans() {
		for shard := range p.FanOut {
			if p.searcherDomain(shard, 0) == p.searcherDomain(shard, 1) {
				t.Fatalf("%s: both replicas of shard %d are in the same domain", p.Service, shard)
			}
		}
	}
}
