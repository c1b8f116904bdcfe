package gather

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// fixedWaits is a LatencyEstimator with a fixed expected wait for each shard. A negative wait means that no searcher may
// be used.
type fixedWaits []yuccahinge.Millis

func (w fixedWaits) ExpectedLatency(_ yuccahinge.Millis, _ *yuccahinge.Index, s *yuccahinge.Shard) (yuccahinge.Millis, bool) {
	return max(0, w[s.ID]), w[s.ID] >= 0
}

// TestOverloadedShardsGetPartOfQueries has three shards whose remaining replicas can serve only a part of the
// queries, while each query may skip two shards.
func TestOverloadedShardsGetPartOfQueries(t *testing.T) {
	w := make(fixedWaits, 20)
	for i := range w {
		w[i] = 10
	}
	w[3], w[8], w[15] = 300, 300, 300
	queried := map[yuccahinge.ShardID]int{}
	const queries = 600
	for i := range queries {
		g := &Gather{
			Request: yuccahinge.RequestID(fmt.Sprint("q", i)), Index: newIndex(20, 2),
			Deadline: 400, SoftDeadline: 80, EnoughCoverage: 0.89, Estimator: w,
		}
		sent := 0
		for _, a := range g.Start(0) {
			queried[a.Shard]++
			sent++
		}
		if sent < 18 {
			t.Fatalf("%d shards were queried, want at least 18", sent)
		}
	}
	for _, id := range []yuccahinge.ShardID{3, 8, 15} {
		if queried[id] < queries/5 || queried[id] > queries/2 {
			t.Errorf("overloaded shard %d was queried by %d of %d queries, want a fifth to a half", id, queried[id], queries)
		}
	}
	if queried[0] != queries {
		t.Errorf("a shard without load was queried by %d of %d queries, want all", queried[0], queries)
	}
}

func TestShardsRequiredForAnswerAreQueried(t *testing.T) {
	w := make(fixedWaits, 20)
	for i := range w {
		w[i] = 1000
	}
	g := &Gather{Request: "q", Index: newIndex(20, 2), Deadline: 400, SoftDeadline: 80, EnoughCoverage: 1, Estimator: w}
	if out := g.Start(0); len(out) != 20 {
		t.Fatalf("%d of 20 shards were queried, want all", len(out))
	}
}

func TestShardsWithoutSearcherAreSkipped(t *testing.T) {
	w := make(fixedWaits, 20)
	w[4] = -1
	g := &Gather{Request: "q", Index: newIndex(20, 2), Deadline: 400, SoftDeadline: 80, EnoughCoverage: 0.9, Estimator: w}
	if out := g.Start(0); len(out) != 19 {
		t.Fatalf("%d shards were queried, want 19", len(out))
	}
}
