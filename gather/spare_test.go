package gather

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// waits is an Estimator with the expected wait of each shard; a negative one means that no searcher may be used.
type waits []yuccahinge.Millis

func (w waits) Wait(_ yuccahinge.Millis, _ *yuccahinge.Index, s *yuccahinge.Shard) (yuccahinge.Millis, bool) {
	return max(0, w[s.ID]), w[s.ID] >= 0
}

// TestOverloadedShardsShareTheQueries answers a pattern of load in which the replicas that are left of three shards
// can serve a part of the queries, and each query can do without two shards.
func TestOverloadedShardsShareTheQueries(t *testing.T) {
	w := make(waits, 20)
	for i := range w {
		w[i] = 10
	}
	w[3], w[8], w[15] = 300, 300, 300
	asked := map[yuccahinge.ShardID]int{}
	const queries = 600
	for i := range queries {
		g := &Gather{
			Request: yuccahinge.RequestID(fmt.Sprint("q", i)), Index: index(20, 2),
			Deadline: 400, SoftDeadline: 80, EnoughCoverage: 0.89, Estimator: w,
		}
		sent := 0
		for _, a := range g.Start(0) {
			asked[a.Shard]++
			sent++
		}
		if sent < 18 {
			t.Fatalf("only %d shards were asked", sent)
		}
	}
	for _, id := range []yuccahinge.ShardID{3, 8, 15} {
		if asked[id] < queries/5 || asked[id] > queries/2 {
			t.Errorf("overloaded shard %d was asked by %d of %d queries", id, asked[id], queries)
		}
	}
	if asked[0] != queries {
		t.Errorf("a shard without load was asked by %d of %d queries", asked[0], queries)
	}
}

func TestEveryShardIsAskedThatTheAnswerNeeds(t *testing.T) {
	w := make(waits, 20)
	for i := range w {
		w[i] = 1000
	}
	g := &Gather{Request: "q", Index: index(20, 2), Deadline: 400, SoftDeadline: 80, EnoughCoverage: 1, Estimator: w}
	if out := g.Start(0); len(out) != 20 {
		t.Fatalf("%d of 20 shards were asked", len(out))
	}
}

func TestShardsWithoutASearcherAreNotAsked(t *testing.T) {
	w := make(waits, 20)
	w[4] = -1
	g := &Gather{Request: "q", Index: index(20, 2), Deadline: 400, SoftDeadline: 80, EnoughCoverage: 0.9, Estimator: w}
	if out := g.Start(0); len(out) != 19 {
		t.Fatalf("%d shards were asked", len(out))
	}
}
