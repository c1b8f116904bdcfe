package picker

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// fakeLimits gives each searcher a number of calls; searchers that are not listed have room for any number.
type fakeLimits struct {
	left     map[yuccahinge.SearcherID]int
	observed int
}

func (f *fakeLimits) Limited() int { return len(f.left) }

func (f *fakeLimits) RoomIn(_ yuccahinge.Millis, id yuccahinge.SearcherID, _ *yuccahinge.Searcher, _ yuccahinge.ServiceName) yuccahinge.Millis {
	if n, ok := f.left[id]; ok && n <= 0 {
		return yuccahinge.Millis(100 - 10*n)
	}
	return 0
}

func (f *fakeLimits) Started(_ yuccahinge.Millis, id yuccahinge.SearcherID) {
	if _, ok := f.left[id]; ok {
		f.left[id]--
	}
}

func (f *fakeLimits) Unsent(_, _ yuccahinge.Millis, id yuccahinge.SearcherID) { f.left[id]++ }

func (f *fakeLimits) Observe(yuccahinge.Millis, yuccahinge.Millis, yuccahinge.SearcherID, *yuccahinge.LoadReport) {
	f.observed++
}

// TestWorkGoesToTheReplicaWithRoom guards against calls to a searcher beyond its maximum rate while another replica could
// run them, and against requests that wait for a searcher without room.
func TestWorkGoesToTheReplicaWithRoom(t *testing.T) {
	limits := &fakeLimits{left: map[yuccahinge.SearcherID]int{"s0": 3}}
	bal := &Balancer{Domain: "d", Limits: limits}
	now := yuccahinge.Millis(1)
	ix := index(2)
	picks := run(bal, ix, &now, 100, func(id yuccahinge.SearcherID) yuccahinge.ShardResult {
		if id == "s1" {
			return ran(50, yuccahinge.LoadReport{}) // slower, so that the limited searcher is preferred
		}
		return ran(5, yuccahinge.LoadReport{})
	})
	if picks["s0"] != 3 || picks["s1"] != 97 {
		t.Errorf("picks by searcher: %v, want 3 and 97", picks)
	}
	if _, ok := bal.Pick(now, ix, &ix.Shards[0], []yuccahinge.SearcherID{"s1"}); ok {
		t.Error("a hedge goes to the searcher without room")
	}
	if wait, ok := bal.RoomIn(now, ix, &ix.Shards[0]); wait != 0 || !ok {
		t.Errorf("room in %v ms, %t, want now, since the other replica has room", wait, ok)
	}
	limits.left["s1"] = -1
	if wait, ok := bal.RoomIn(now, ix, &ix.Shards[0]); wait != 100 || !ok {
		t.Errorf("room in %v ms, %t, want 100 ms", wait, ok)
	}
	if id, ok := bal.Pick(now, ix, &ix.Shards[0], nil); ok {
		t.Errorf("picked %s although no replica has room", id)
	}
	if _, ok := bal.ExpectedLatency(now, ix, &ix.Shards[0]); ok {
		t.Error("a shard without room has an expected latency")
	}
}

// TestProbesCountAgainstTheMaximumRate guards against health checks that exceed a searcher's maximum rate.
func TestProbesCountAgainstTheMaximumRate(t *testing.T) {
	limits := &fakeLimits{left: map[yuccahinge.SearcherID]int{"s0": 1}}
	bal := &Balancer{Limits: limits}
	ix := index(1)
	if !bal.StartProbe(1, "s0", ix.Searchers["s0"], "") || bal.StartProbe(2, "s0", ix.Searchers["s0"], "") {
		t.Error("not exactly one probe may start")
	}
	rate := yuccahinge.RequestRate(1)
	bal.RecordReport(3, "s0", &yuccahinge.LoadReport{Incarnation: "s0"})
	bal.RecordReport(4, "s0", &yuccahinge.LoadReport{Incarnation: "s0", MaxRate: &rate})
	if limits.observed != 1 {
		t.Errorf("%d reports of probes were observed, want only the one with a maximum rate", limits.observed)
	}
}

// TestEveryResponseIsObserved covers the results of attempts: failures count, and an attempt that was never sent gives back
// its place.
func TestEveryResponseIsObserved(t *testing.T) {
	limits := &fakeLimits{left: map[yuccahinge.SearcherID]int{"s0": 5}}
	bal := &Balancer{Limits: limits}
	for _, res := range []yuccahinge.ShardResult{
		ran(5, yuccahinge.LoadReport{}),
		{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonRefused, Reply: &yuccahinge.ShardReply{}},
		{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonFailed, ReportWithoutReply: &yuccahinge.LoadReport{}},
		{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonTimeout},
		{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonShed},
	} {
		bal.Started(1, "s0")
		bal.Ended(2, "s0", &res)
	}
	if limits.observed != 3 || limits.left["s0"] != 1 {
		t.Errorf("%d responses were observed and %d calls are left, want 3 and 1", limits.observed, limits.left["s0"])
	}
}

// TestEjectedReplicasDoNotCountAsRoom covers a limited searcher beside one that does not answer.
func TestEjectedReplicasDoNotCountAsRoom(t *testing.T) {
	bal := &Balancer{Domain: "d", Limits: &fakeLimits{left: map[yuccahinge.SearcherID]int{"s1": 0}}}
	ix := index(2)
	fail := yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonConnectionLost, Latency: 100}
	for range failuresToEject {
		bal.Started(1, "s0")
		bal.Ended(2, "s0", &fail)
	}
	if wait, ok := bal.RoomIn(3, ix, &ix.Shards[0]); !ok || wait != 100 {
		t.Errorf("room in %v ms, %t, want 100 ms", wait, ok)
	}
}
