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

// TestFailureResponseIsHeeded guards against a searcher that counts as silent although it responds, with failures, and
// against a load report that is used only if the response is a success.
func TestFailureResponseIsHeeded(t *testing.T) {
	bal := &Balancer{Domain: "d"}
	ix := index(1)
	now := yuccahinge.Millis(1)
	failed := yuccahinge.ShardResult{
		Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonFailed, Latency: 5,
		ReportWithoutReply: &yuccahinge.LoadReport{Incarnation: "i", Running: 2, Queued: 3},
	}
	// One call is in flight all the time.
	bal.Started(now, "s0")
	for range 2000 {
		now++
		bal.Started(now, "s0")
		bal.Ended(now, "s0", &failed)
	}
	st := bal.stats("s0")
	if st.isSilent(now) || !st.isEjected(now) {
		t.Errorf("silent %t, ejected %t, want it ejected for its failures only", st.isSilent(now), st.isEjected(now))
	}
	if bal.HasRoom(now, "s0", ix.Searchers["s0"]) {
		t.Error("the searcher has a free slot although it reports five calls at two slots")
	}
}
