package gather

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestHedgesOnlySearchersWithRoom checks that a shard is hedged only once the other replica has a free slot. A
// hedge to a full searcher would displace another call, whereas a hedge against a slow searcher helps.
func TestHedgesOnlySearchersWithRoom(t *testing.T) {
	hasRoom := false
	b := &countingBudget{}
	g := &Gather{
		Request: "r", Index: newIndex(1, 2), Deadline: 100, Hedger: fixedDelay(5), HedgeBudget: b, NoReissue: true, Proven: true,
		HasRoom: func(yuccahinge.Millis, yuccahinge.SearcherID) bool { return hasRoom },
	}
	g.Start(0)
	if out := g.Tick(11); len(out) != 0 || b.withdrawn != 0 {
		t.Fatalf("actions are %+v with %d extra attempts granted while the other replica is full, want none", out, b.withdrawn)
	}
	hasRoom = true
	at, _ := g.NextTick()
	if out := g.Tick(at); len(out) != 1 || out[0].Cause != Hedge || b.withdrawn != 1 || at > 11+hedgeRetryMs {
		t.Fatalf("actions are %+v at %g with %d extra attempts granted once there is room, want one hedge", out, at, b.withdrawn)
	}
}
