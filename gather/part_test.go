package gather

import (
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// newDelegating returns a started query over ten shards, of which nine suffice for an answer. Another host queries
// the last four.
func newDelegating(ix *yuccahinge.Index) (*Gather, []Action) {
	g := &Gather{
		Request: "r", Index: ix, Deadline: 400, SoftDeadline: 80, EnoughCoverage: 0.9, MinCoverage: 0.9,
		MaxAttempts: 2, Proven: true, NoReissue: true, Delegated: [][]int{{6, 7, 8, 9}},
	}
	return g, slices.Clone(g.Start(0))
}

func replyToAll(g *Gather, now yuccahinge.Millis, actions []Action) {
	for _, a := range actions {
		if a.Kind == Send {
			g.HandleResult(now, a.Attempt, ranResult(a))
		}
	}
}

func TestPartCoversItsShards(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 2))
	if len(sent) != 6 {
		t.Fatalf("%d attempts, want 6", len(sent))
	}
	replyToAll(g, 10, sent)
	if g.Done() || g.NoneRan() {
		t.Fatalf("done %t, none ran %t before the result of the part, want false for both", g.Done(), g.NoneRan())
	}
	g.HandlePart(20, 0, &PartResult{StragglerWaitMs: 4})
	at, _ := g.MinCoverageAt()
	if !g.Done() || g.Covered() != 10 || at != 16 {
		t.Fatalf("done %t, covered %d, minimum coverage reached at %g; want true, 10, 16", g.Done(), g.Covered(), at)
	}
}

// TestSlowShardOfPartDoesNotDelayAnswer checks that the query ends at the soft deadline without the one shard that
// the other host lacks.
func TestSlowShardOfPartDoesNotDelayAnswer(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 2))
	replyToAll(g, 10, sent)
	if out := g.HandlePart(80, 0, &PartResult{Lacking: []LackingShard{{Shard: 2, Tried: []yuccahinge.SearcherID{"s8-0"}}}}); len(out) != 1 || out[0].Kind != Finish {
		t.Fatalf("actions are %+v, want only finish", out)
	}
	if g.Covered() != 9 {
		t.Fatalf("%d shards are covered, want 9", g.Covered())
	}
}

// TestLackingShardsGetRemainingAttempts checks that the attempts of both hosts count towards one limit.
func TestLackingShardsGetRemainingAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		tried []yuccahinge.SearcherID
		want  []yuccahinge.SearcherID
	}{
		"one attempt left": {[]yuccahinge.SearcherID{"s9-0"}, []yuccahinge.SearcherID{"s9-1"}},
		"no attempt left":  {[]yuccahinge.SearcherID{"s9-0", "s9-1"}, nil},
		"not queried":      {nil, []yuccahinge.SearcherID{"s9-0"}},
	} {
		g, sent := newDelegating(newIndex(10, 3))
		replyToAll(g, 10, sent)
		var got []yuccahinge.SearcherID
		for _, a := range g.HandlePart(30, 0, &PartResult{Lacking: []LackingShard{{Shard: 3, Tried: c.tried}}}) {
			if a.Kind == Send {
				got = append(got, a.Searcher)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: queried %v, want %v", name, got, c.want)
		}
		if g.NoneRan() {
			t.Errorf("%s: NoneRan is true after the other host may have run the query", name)
		}
	}
}

func TestReclaimedPartIsQueriedByThisHost(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 2))
	reclaimed := slices.Clone(g.ReclaimPart(2, 0))
	if len(reclaimed) != 4 || reclaimed[0].Cause != First {
		t.Fatalf("actions are %+v, want 4 first attempts", reclaimed)
	}
	replyToAll(g, 10, append(sent, reclaimed...))
	if !g.Done() || g.Covered() != 10 {
		t.Fatalf("done %t, covered %d, want true and 10", g.Done(), g.Covered())
	}
}

// TestLostPartIsNotRetried loses the host that queried four of ten shards. It may have used up their attempts.
func TestLostPartIsNotRetried(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 2))
	out := g.HandlePartLost(50, 0, yuccahinge.ReasonUnreachable)
	if !g.Done() || g.NoneRan() || slices.ContainsFunc(out, func(a Action) bool { return a.Kind == Send }) {
		t.Fatalf("done %t, none ran %t, actions %+v; want true, false and no send", g.Done(), g.NoneRan(), out)
	}
	if n := len(sent); g.AttemptsSent() != n {
		t.Fatalf("%d attempts, want the %d of the start", g.AttemptsSent(), n)
	}
}

// TestNoneRanWhenAllSearchersRefuse has every searcher refuse, for this host and for the other one.
func TestNoneRanWhenAllSearchersRefuse(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 1))
	g.MinCoverage = 0 // so that the query does not end before the last refusal
	lacking := []LackingShard{{Shard: 0, Tried: []yuccahinge.SearcherID{"s6-0"}}, {Shard: 1, Tried: []yuccahinge.SearcherID{"s7-0"}}, {Shard: 2, Tried: []yuccahinge.SearcherID{"s8-0"}}, {Shard: 3, Tried: []yuccahinge.SearcherID{"s9-0"}}}
	g.HandlePart(10, 0, &PartResult{NoneRan: true, Lacking: lacking})
	for _, a := range sent {
		g.HandleResult(11, a.Attempt, failedResult(yuccahinge.NotRun, yuccahinge.ReasonRefused))
	}
	if !g.Done() || !g.NoneRan() {
		t.Fatalf("done %t, none ran %t, want true for both", g.Done(), g.NoneRan())
	}
}

// TestPartInFlightMayHaveRun guards against a request that is reported as not run although another host is still querying a
// part of it: every searcher of this host refuses, so that the coverage can't be reached any more.
func TestPartInFlightMayHaveRun(t *testing.T) {
	g, sent := newDelegating(newIndex(10, 1))
	g.MinCoverage = 0.5 // unreachable with the last refusal
	for _, a := range sent {
		g.HandleResult(11, a.Attempt, failedResult(yuccahinge.NotRun, yuccahinge.ReasonRefused))
	}
	if !g.Done() || g.NoneRan() {
		t.Fatalf("done %t, none ran %t, want true and false", g.Done(), g.NoneRan())
	}
}
