package gather

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"pgregory.net/rapid"
)

func newIndex(shards, replicas int) *yuccahinge.Index {
	ix := &yuccahinge.Index{Version: 3, Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i := range shards {
		s := yuccahinge.Shard{ID: yuccahinge.ShardID(i)}
		for j := range replicas {
			id := yuccahinge.SearcherID(fmt.Sprintf("s%d-%d", i, j))
			ix.Searchers[id] = &yuccahinge.Searcher{}
			s.Searchers = append(s.Searchers, id)
		}
		ix.Shards = append(ix.Shards, s)
	}
	return ix
}

func ranResult(a Action) *yuccahinge.ShardResult {
	return &yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Reply: &yuccahinge.ShardReply{
		RequestID: "r", Attempt: a.Attempt, Shard: a.Shard, IndexVersion: 3, Outcome: yuccahinge.Ran,
	}}
}

func failedResult(o yuccahinge.Outcome, r yuccahinge.Reason) *yuccahinge.ShardResult {
	return &yuccahinge.ShardResult{Outcome: o, Reason: r}
}

type fixedDelay yuccahinge.Millis

func (d fixedDelay) Delay(yuccahinge.Millis, yuccahinge.ServiceName, yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	return yuccahinge.Millis(d), true
}

// model is the oracle. It receives the same results as the Gather and keeps the coverage and attempt counts that
// they imply.
type model struct {
	now       yuccahinge.Millis
	open      map[yuccahinge.AttemptID]Action
	covered   map[yuccahinge.ShardID]bool
	sent      map[yuccahinge.ShardID]map[Cause]int
	sentCount int
	notRun    int
	finished  bool
}

func (m *model) apply(t *rapid.T, actions []Action) {
	for _, a := range actions {
		if m.finished {
			t.Fatalf("%s action after the end of the query", a.Kind)
		}
		switch a.Kind {
		case Send:
			if m.sent[a.Shard] == nil {
				m.sent[a.Shard] = map[Cause]int{}
			}
			m.sent[a.Shard][a.Cause]++
			if m.covered[a.Shard] || m.sent[a.Shard][a.Cause] > 1 {
				t.Fatalf("unnecessary %s attempt at shard %d", a.Cause, a.Shard)
			}
			m.open[a.Attempt] = a
			m.sentCount++
		case Finish:
			m.finished = true
		}
	}
}

func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		g := &Gather{
			Request: "r", Service: "trainer", Index: newIndex(shards, rapid.IntRange(0, 3).Draw(t, "replicas")),
			Deadline: 100, Canary: rapid.Bool().Draw(t, "canary"), Suspect: rapid.Bool().Draw(t, "suspect"),
			Hedger: fixedDelay(10), RetryBudget: &budget.Budget{Burst: 2},
		}
		if rapid.Bool().Draw(t, "latencyFirst") {
			g.SoftDeadline, g.EnoughCoverage = 50, 0.5
		}
		m := &model{open: map[yuccahinge.AttemptID]Action{}, covered: map[yuccahinge.ShardID]bool{}, sent: map[yuccahinge.ShardID]map[Cause]int{}}
		m.apply(t, g.Start(m.now))
		for !m.finished {
			m.step(t, g)
		}
		m.check(t, g, shards)
	})
}

// step delivers one result or advances the time to the next tick.
func (m *model) step(t *rapid.T, g *Gather) {
	ids := make([]yuccahinge.AttemptID, 0, len(m.open))
	for id := range m.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	what := rapid.SampledFrom([]string{"tick", "ran", "ran", "refused", "lost", "foreign", "unsent"}).Draw(t, "what")
	if what == "unsent" {
		m.apply(t, g.HandleResult(m.now, yuccahinge.AttemptID(m.sentCount+1), failedResult(yuccahinge.Ran, "")))
		return
	}
	if what == "tick" || len(ids) == 0 {
		at, ok := g.NextTick()
		if !ok || at <= m.now {
			t.Fatalf("NextTick returned %g, %t at %g, want a later instant", at, ok, m.now)
		}
		m.now = at
		m.apply(t, g.Tick(m.now))
		return
	}
	a := m.open[rapid.SampledFrom(ids).Draw(t, "attempt")]
	delete(m.open, a.Attempt)
	r := ranResult(a)
	switch what {
	case "ran":
		m.covered[a.Shard] = true
	case "refused":
		r = failedResult(yuccahinge.NotRun, yuccahinge.ReasonShed)
		m.notRun++
	case "lost":
		r = failedResult(yuccahinge.Unknown, yuccahinge.ReasonConnectionLost)
	case "foreign":
		r.Reply.IndexVersion = 2
	}
	m.apply(t, g.HandleResult(m.now, a.Attempt, r))
	m.apply(t, g.HandleResult(m.now, a.Attempt, ranResult(a)))
}

func (m *model) check(t *rapid.T, g *Gather, shards int) {
	for _, a := range m.open {
		m.apply(t, g.HandleResult(m.now, a.Attempt, ranResult(a)))
	}
	answer, _, err := g.Answer()
	if err != nil {
		t.Fatal(err)
	}
	lacking := map[yuccahinge.ShardID]bool{}
	for _, l := range answer.Coverage.Lacking {
		if l.Reason == "" || m.covered[l.Shard] || lacking[l.Shard] {
			t.Fatalf("shard %d is listed as lacking with reason %q although it is covered, already listed or has no reason", l.Shard, l.Reason)
		}
		lacking[l.Shard] = true
	}
	if len(lacking)+len(m.covered) != shards {
		t.Fatalf("%d covered and %d lacking shards, want %d in total", len(m.covered), len(lacking), shards)
	}
	want := yuccahinge.Partial
	if len(m.covered) == shards {
		want = yuccahinge.Complete
	} else if m.notRun == m.sentCount {
		want = yuccahinge.NotRun
	}
	if answer.Outcome != want {
		t.Fatalf("outcome %s, want %s", answer.Outcome, want)
	}
	if g.InFlight() != 0 {
		t.Fatalf("%d attempts are still in flight", g.InFlight())
	}
}

func TestHedgesOnlyLastShards(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(20, 2), Deadline: 100, Hedger: fixedDelay(10)}
	sends := slices.Clone(g.Start(0))
	if out := g.Tick(10); len(out) != 0 {
		t.Fatalf("hedged while all shards are pending: %v", out)
	}
	for _, a := range sends[:18] {
		g.HandleResult(11, a.Attempt, ranResult(a))
	}
	if n := g.AttemptsSent(); n != 25 {
		t.Fatalf("%d attempts, want 20 and a hedge for each of the last 5", n)
	}
}

func TestHedgesManyVeryLateShards(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(20, 2), Deadline: 100, Hedger: fixedDelay(10)}
	sends := slices.Clone(g.Start(0))
	for _, a := range sends[:12] {
		g.HandleResult(1, a.Attempt, ranResult(a))
	}
	if at, _ := g.NextTick(); at != 20 {
		t.Fatalf("next tick is at %g, want 20", at)
	}
	if out := g.Tick(20); len(out) != 8 {
		t.Fatalf("%d hedges, want 8", len(out))
	}
}

func TestLostConnectionsAreRetried(t *testing.T) {
	for _, c := range []struct {
		proven bool
		want   int
	}{{false, 5}, {true, 8}} {
		g := &Gather{Request: "r", Index: newIndex(5, 2), Deadline: 100, Proven: c.proven}
		sends := slices.Clone(g.Start(0))
		g.HandleResult(1, sends[0].Attempt, ranResult(sends[0]))
		for _, a := range sends[1:4] {
			g.HandleResult(1, a.Attempt, failedResult(yuccahinge.Unknown, yuccahinge.ReasonConnectionLost))
		}
		g.Tick(1 + lossRetryMs)
		if g.AttemptsSent() != c.want {
			t.Errorf("proven %t: %d attempts, want %d", c.proven, g.AttemptsSent(), c.want)
		}
	}
}

// countingBudget is an AttemptBudget that grants every attempt and counts the calls.
type countingBudget struct{ deposited, withdrawn int }

func (b *countingBudget) Deposit(_ yuccahinge.Millis, _ yuccahinge.ServiceName, n int) {
	b.deposited += n
}

func (b *countingBudget) Withdraw(yuccahinge.Millis, yuccahinge.ServiceName) bool {
	b.withdrawn++
	return true
}
func (b *countingBudget) Refund(yuccahinge.Millis, yuccahinge.ServiceName) { b.withdrawn-- }

func TestSharedBudgetCountsEachShardOnce(t *testing.T) {
	b := &countingBudget{}
	g := &Gather{Request: "r", Index: newIndex(5, 2), Deadline: 100, RetryBudget: b, HedgeBudget: b}
	g.Start(0)
	if b.deposited != 5 {
		t.Fatalf("%d first attempts were counted, want 5", b.deposited)
	}
}

func TestCoveredIsFormattedAsRanges(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(20, 1), Deadline: 100}
	for _, a := range slices.Clone(g.Start(0)) {
		if a.Shard != 18 {
			g.HandleResult(1, a.Attempt, ranResult(a))
		}
	}
	g.Tick(100)
	answer, _, err := g.Answer()
	if err != nil || !slices.Equal(answer.Coverage.Covered, []string{"0-17", "19"}) {
		t.Fatalf("covered shards are %v with error %v, want 0-17 and 19", answer.Coverage.Covered, err)
	}
	if l := answer.Coverage.Lacking; len(l) != 1 || l[0] != (yuccahinge.LackingShard{Shard: 18, Reason: yuccahinge.ReasonTimeout}) {
		t.Fatalf("lacking shards are %v, want shard 18 with reason timeout", l)
	}
}

func TestPoisonQueryReachesTwoSearchers(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(20, 2), Deadline: 1000, Canary: true}
	now := yuccahinge.Millis(0)
	actions := slices.Clone(g.Start(now))
	for !g.Done() {
		now++
		for _, a := range actions {
			if a.Kind == Send {
				g.HandleResult(now, a.Attempt, failedResult(yuccahinge.Unknown, yuccahinge.ReasonConnectionLost))
			}
		}
		at, _ := g.NextTick()
		now = at
		actions = slices.Clone(g.Tick(now))
	}
	if !g.Poisoned() || g.AttemptsSent() != 2 {
		t.Fatalf("poisoned %t after %d attempts, want true after 2", g.Poisoned(), g.AttemptsSent())
	}
}

func BenchmarkGather(b *testing.B) {
	for _, n := range []int{20, 30, 460} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ix := newIndex(n, 2)
			results := make([]*yuccahinge.ShardResult, n)
			for i := range results {
				results[i] = ranResult(Action{Attempt: yuccahinge.AttemptID(i + 1), Shard: yuccahinge.ShardID(i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				g := &Gather{Request: "r", Index: ix, Deadline: 100, Hedger: fixedDelay(10)}
				g.Start(0)
				for i, r := range results {
					g.NextTick()
					g.HandleResult(1, yuccahinge.AttemptID(i+1), r)
				}
				if a, _, _ := g.Answer(); a.Outcome != yuccahinge.Complete {
					b.Fatal("the outcome is not complete")
				}
			}
		})
	}
}

// TestRefusalOfAnotherAttemptProvesNothing guards against a fault found by cmd/soak: a late refusal of one attempt
// that was delivered as the result of another counted as proof that the other had not run.
func TestRefusalOfAnotherAttemptProvesNothing(t *testing.T) {
	g := Gather{Request: "r", Index: newIndex(1, 1), Deadline: 100}
	sent := g.Start(0)[0]
	r := ranResult(sent)
	r.Outcome = yuccahinge.NotRun
	r.Reason = yuccahinge.ReasonShed
	r.Reply.Outcome = yuccahinge.NotRun
	r.Reply.Attempt++
	g.HandleResult(1, sent.Attempt, r)
	if !g.Done() {
		g.Tick(100)
	}
	a, _, err := g.Answer()
	if err != nil || a.Outcome != yuccahinge.Partial {
		t.Fatalf("outcome is %q with error %v, want partial", a.Outcome, err)
	}
}

// unknownLatency is a Hedger without samples.
type unknownLatency struct{}

func (unknownLatency) Delay(yuccahinge.Millis, yuccahinge.ServiceName, yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	return 0, false
}

func TestShardOfUnknownLatencyIsHedgedBeforeDeadline(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(1, 2), Deadline: 1000, Hedger: unknownLatency{}}
	g.Start(0)
	at, ok := g.NextTick()
	if !ok || at >= g.Deadline {
		t.Fatalf("next tick is at %v, want one before the deadline", at)
	}
	out := g.Tick(at)
	if len(out) != 1 || out[0].Kind != Send || out[0].Cause != Hedge {
		t.Fatalf("actions at %v are %v, want a hedge", at, out)
	}
}

func TestLateHedgeReissuesFirstAttempt(t *testing.T) {
	g := &Gather{Request: "r", Index: newIndex(1, 2), Deadline: 1000, Hedger: fixedDelay(10)}
	first := g.Start(0)[0]
	hedge := g.Tick(10)[0]
	if hedge.Cause != Hedge || hedge.Searcher == first.Searcher {
		t.Fatalf("action is %+v, want a hedge at the other searcher", hedge)
	}
	out := g.Tick(20)
	if len(out) != 2 || out[0].Kind != Cancel || out[0].Attempt != first.Attempt {
		t.Fatalf("actions are %+v, want the first attempt canceled", out)
	}
	reissue := out[1]
	if reissue.Cause != Reissue || reissue.Searcher != first.Searcher {
		t.Fatalf("action is %+v, want a reissue at the first searcher", reissue)
	}
	g.HandleResult(21, first.Attempt, failedResult(yuccahinge.Unknown, yuccahinge.ReasonCanceled))
	if out := g.Tick(40); len(out) != 0 {
		t.Fatalf("actions after the reissue are %+v, want none", out)
	}
	g.HandleResult(41, reissue.Attempt, ranResult(reissue))
	a, _, err := g.Answer()
	if err != nil || a.Outcome != yuccahinge.Complete {
		t.Fatalf("answer is %+v with error %v, want a complete one", a, err)
	}
}

// drainingPicker is a Picker that takes the first untried replica whose searcher is not draining.
type drainingPicker struct{ draining yuccahinge.SearcherID }

func (p *drainingPicker) Pick(_ yuccahinge.Millis, _ *yuccahinge.Index, s *yuccahinge.Shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	for _, id := range s.Searchers {
		if id != p.draining && !slices.Contains(tried, id) {
			return id, true
		}
	}
	return "", false
}

func TestReissueAvoidsDrainingSearcher(t *testing.T) {
	p := &drainingPicker{}
	g := &Gather{Request: "r", Index: newIndex(1, 2), Deadline: 1000, Hedger: fixedDelay(10), Picker: p}
	first := g.Start(0)[0]
	g.Tick(10)
	p.draining = first.Searcher
	if out := g.Tick(20); len(out) != 0 {
		t.Fatalf("actions are %+v, want none at a searcher that is draining", out)
	}
}

// TestExtraAttemptsNeverSentAreRefunded checks the hedge budget for a hedge that ends in this host's own queue, is
// canceled, or is refused by the searcher. Only the first is refunded.
func TestExtraAttemptsNeverSentAreRefunded(t *testing.T) {
	neverSent := failedResult(yuccahinge.NotRun, yuccahinge.ReasonShed)
	for name, c := range map[string]struct {
		hedge *yuccahinge.ShardResult
		want  int
	}{
		"never sent":          {neverSent, 0},
		"sent and canceled":   {failedResult(yuccahinge.Unknown, yuccahinge.ReasonCanceled), 1},
		"refused by searcher": {failedResult(yuccahinge.NotRun, yuccahinge.ReasonRefused), 1},
	} {
		b := &countingBudget{}
		g := &Gather{Request: "r", Index: newIndex(1, 2), Deadline: 100, Hedger: fixedDelay(5), HedgeBudget: b, NoReissue: true, Proven: true}
		first := g.Start(0)[0]
		hedge := g.Tick(11)[0]
		if hedge.Cause != Hedge || b.withdrawn != 1 {
			t.Fatalf("%s: action is %+v with %d extra attempts granted, want a hedge and 1", name, hedge, b.withdrawn)
		}
		g.HandleResult(12, first.Attempt, ranResult(first))
		g.HandleResult(13, hedge.Attempt, c.hedge)
		if b.withdrawn != c.want {
			t.Errorf("%s: %d extra attempts are charged, want %d", name, b.withdrawn, c.want)
		}
	}
}

// TestRetryWithoutAnotherReplicaIsRefunded fails the only replica of a shard. The retry finds no searcher to pick,
// so its grant is refunded.
func TestRetryWithoutAnotherReplicaIsRefunded(t *testing.T) {
	b := &countingBudget{}
	g := &Gather{Request: "r", Index: newIndex(1, 1), Deadline: 100, RetryBudget: b, Proven: true}
	first := g.Start(0)[0]
	g.HandleResult(5, first.Attempt, failedResult(yuccahinge.Unknown, yuccahinge.ReasonFailed))
	if b.withdrawn != 0 || !g.Done() {
		t.Fatalf("%d extra attempts are charged, done %t, want 0 and true", b.withdrawn, g.Done())
	}
}

// TestAttemptsNeverSentUseUpNothing guards against a query that fails because its searcher was no longer to be called when a
// connection became available: the next attempt is the first that a searcher gets.
func TestAttemptsNeverSentUseUpNothing(t *testing.T) {
	neverSent := failedResult(yuccahinge.NotRun, yuccahinge.ReasonShed)
	b := &countingBudget{}
	g := &Gather{Request: "r", Index: newIndex(1, 3), Deadline: 100, MaxAttempts: 1, AtMostOnce: true, RetryBudget: b}
	first := g.Start(0)[0]
	second := g.HandleResult(5, first.Attempt, neverSent)
	if len(second) != 1 || second[0].Kind != Send || second[0].Searcher == first.Searcher || b.withdrawn != 0 {
		t.Fatalf("actions are %+v after an attempt that was not sent, %d extra attempts charged, want another searcher without a charge", second, b.withdrawn)
	}
	if out := g.HandleResult(6, second[0].Attempt, failedResult(yuccahinge.NotRun, yuccahinge.ReasonRefused)); g.AttemptsSent() != 2 || !g.Done() || !g.NoneRan() {
		t.Errorf("actions are %+v after the only attempt that a searcher got", out)
	}
}
