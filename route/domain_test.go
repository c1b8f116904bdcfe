package route

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// twoDomains returns an index of n shards, each with a searcher in domain "near" and one in "far".
func twoDomains(n int) *yuccahinge.Index {
	ix := &yuccahinge.Index{Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i := range n {
		s := yuccahinge.Shard{ID: yuccahinge.ShardID(i)}
		for _, d := range []yuccahinge.DomainID{"near", "far"} {
			id := yuccahinge.SearcherID(fmt.Sprint(d, i))
			ix.Searchers[id] = &yuccahinge.Searcher{Slots: 2, Domain: d}
			s.Searchers = append(s.Searchers, id)
		}
		ix.Shards = append(ix.Shards, s)
	}
	return ix
}

// startFar starts a call at every searcher of the domain "far".
func startFar(r *Route, now yuccahinge.Millis, ix *yuccahinge.Index) {
	for i := range ix.Shards {
		s := &ix.Shards[i]
		if id, ok := r.Pick(now, ix, s, s.Searchers[:1]); ok {
			r.Started(now, id)
		}
	}
}

func TestSilentDomainIsLeftOutUntilAReplyArrives(t *testing.T) {
	r := &Route{Domain: "near", WatchDomains: true}
	ix := twoDomains(8)
	startFar(r, 1000, ix)
	if r.Reachable(1100, ix) != 8 || len(r.Cut(1100)) != 0 {
		t.Fatal("cut off after 100 ms, as long as a pause lasts")
	}
	if got := r.Cut(1300); len(got) != 1 || got[0] != "far" {
		t.Fatalf("cut off are %v after 300 ms of silence", got)
	}
	if _, ok := r.Pick(1300, ix, &ix.Shards[0], []yuccahinge.SearcherID{"near0"}); ok {
		t.Fatal("a searcher of the domain is still picked")
	}
	for i := range ix.Shards {
		r.Ended(1400, ix.Shards[i].Searchers[1], &yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonTimeout})
	}
	if len(r.Cut(1500)) != 1 {
		t.Fatal("the end of the calls brought the domain back")
	}
	r.Report(1600, "far3", &yuccahinge.LoadReport{Incarnation: "far3"})
	if len(r.Cut(1600)) != 0 {
		t.Fatal("a reply did not bring the domain back")
	}
}

func TestRefusingDomainIsLeftOut(t *testing.T) {
	r := &Route{Domain: "near", WatchDomains: true}
	ix := twoDomains(20)
	startFar(r, 1000, ix)
	for i := range ix.Shards {
		r.Ended(1001, ix.Shards[i].Searchers[1], &yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonUnreachable})
	}
	if len(r.Cut(1002)) != 1 || r.Reachable(1002, ix) != 20 {
		t.Fatalf("cut off are %v", r.Cut(1002))
	}
}

func TestPausesOfSomeSearchersCutNothingOff(t *testing.T) {
	r := &Route{Domain: "near", WatchDomains: true}
	ix := twoDomains(8)
	for now := yuccahinge.Millis(1000); now < 3000; now += 50 {
		startFar(r, now, ix)
		res := ran(5, yuccahinge.LoadReport{})
		r.Ended(now+5, "far0", &res)
		if len(r.Cut(now+5)) != 0 {
			t.Fatal("cut off though one searcher replies")
		}
	}
}

// TestCallsThatHangAtDeadSearchersCutNothingOff plays the pattern of an incident: calls hang at dark searchers while
// the others have replied and no new request comes.
func TestCallsThatHangAtDeadSearchersCutNothingOff(t *testing.T) {
	r := &Route{Domain: "near", WatchDomains: true}
	ix := twoDomains(20)
	startFar(r, 1000, ix)
	for i := range 8 {
		res := ran(5, yuccahinge.LoadReport{})
		r.Ended(1005, ix.Shards[i].Searchers[1], &res)
	}
	if got := r.Cut(1350); len(got) != 0 {
		t.Fatalf("cut off are %v while 12 calls from before the last reply hang", got)
	}
}

func TestShardsOfCutDomainsAreOutOfReach(t *testing.T) {
	r := &Route{Domain: "near", WatchDomains: true}
	ix := twoDomains(8)
	for i := range 3 {
		ix.Shards[i].Searchers = ix.Shards[i].Searchers[1:]
	}
	for i := range ix.Shards {
		if id, ok := r.Pick(1000, ix, &ix.Shards[i], []yuccahinge.SearcherID{yuccahinge.SearcherID(fmt.Sprint("near", i))}); ok {
			r.Started(1000, id)
		}
	}
	if n := r.Reachable(2000, ix); n != 5 {
		t.Fatalf("%d of 8 shards are within reach, want the five with a near searcher", n)
	}
}
