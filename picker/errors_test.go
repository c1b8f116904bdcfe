package picker

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestSearchersThatRefusePartOfTheirCallsAreAvoided guards against a fault in which half of the replicas refuse two calls
// in five and reply to the others as fast as usual, so that their latency does not show it. Here one of three does so.
func TestSearchersThatRefusePartOfTheirCallsAreAvoided(t *testing.T) {
	bal := &Balancer{Domain: "d", ErrorCostMs: 60}
	now := yuccahinge.Millis(1)
	calls := 0
	reply := func(id yuccahinge.SearcherID) yuccahinge.ShardResult {
		calls++
		if id == "s0" && calls%5 < 2 {
			return yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonRefused, Reply: &yuccahinge.ShardReply{Outcome: yuccahinge.NotRun}}
		}
		return ran(5, yuccahinge.LoadReport{})
	}
	ix := index(3)
	run(bal, ix, &now, 60, reply)
	if picks := run(bal, ix, &now, 1000, reply); picks["s0"] > 100 {
		t.Fatalf("picks by searcher: %v, want s0 at most 100 times", picks)
	}
	now += 20_000
	if picks := run(bal, ix, &now, 30, func(yuccahinge.SearcherID) yuccahinge.ShardResult { return ran(5, yuccahinge.LoadReport{}) }); picks["s0"] == 0 {
		t.Fatal("the searcher gets no calls 20 s after its last refusal")
	}
}
