package poison

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func loss(r yuccahinge.RequestID, id yuccahinge.SearcherID, proven bool) Loss {
	return Loss{Query: 7, Request: r, Searcher: id, Proven: proven}
}

func verdict(v Verdict, _ bool) Verdict { return v }

// TestDeadlyForSomeShards covers queries that other shards reply to.
func TestDeadlyForSomeShards(t *testing.T) {
	for _, c := range []struct {
		heard    bool
		requests []yuccahinge.RequestID
		want     []Verdict
	}{
		{false, []yuccahinge.RequestID{"r", "r", "r", "r"}, []Verdict{Suspect, Suspect, Suspect, Suspect}},
		{false, []yuccahinge.RequestID{"r", "r", "s"}, []Verdict{Suspect, Suspect, Confirmed}},
		{true, []yuccahinge.RequestID{"r"}, []Verdict{Confirmed}},
	} {
		var p Poison
		if c.heard {
			p.Hear(1, p.Notice(7, Suspect, 0))
		}
		for i, r := range c.requests {
			id := yuccahinge.SearcherID(fmt.Sprint(i))
			v, news := p.Lost(yuccahinge.Millis(i+1), loss(r, id, true))
			if v != c.want[i] || news != (i == 1 || v == Confirmed) {
				t.Errorf("%v: loss %d made the query %s, news %t", c.requests, i, v, news)
			}
		}
	}
}

func TestTwoSearchersConfirm(t *testing.T) {
	var p Poison
	if verdict(p.Lost(1, loss("r", "a", false))) != Suspect || p.Check(2, 7) != Suspect {
		t.Fatal("one loss must make a suspect")
	}
	p.Replied("a")
	if verdict(p.Lost(3, loss("s", "a", false))) != Suspect {
		t.Fatal("the same searcher twice must not confirm")
	}
	if verdict(p.Lost(4, loss("s", "b", false))) != Confirmed || p.Check(5, 7) != Confirmed {
		t.Fatal("two searchers must confirm")
	}
	if p.Check(4+defaultHold, 7) != Clear {
		t.Fatal("the quarantine must end")
	}
}

func TestNoticesCarryVerdicts(t *testing.T) {
	for _, v := range []Verdict{Suspect, Confirmed} {
		var here, there Poison
		news := there.Hear(1, here.Notice(0xfeed, v, 12))
		want := Resting
		if v == Confirmed {
			want = Confirmed
		}
		if got := there.Check(2, 0xfeed); got != want || news != (v == Confirmed) {
			t.Errorf("%s is heard as %s, news %t", v, got, news)
		}
		if v == Suspect && there.Shard(0xfeed) != 12 {
			t.Errorf("shard is %d", there.Shard(0xfeed))
		}
	}
	var p Poison
	for _, key := range []string{"", "zz", "1/x", "/", "1/99999999999"} {
		p.Hear(1, yuccahinge.Notice{Kind: yuccahinge.NoticeSuspect, Key: key})
	}
	if p.table.Load() != nil {
		t.Error("a malformed notice changed the table")
	}
}

func TestSuspectRestsAfterTwoLosses(t *testing.T) {
	var p Poison
	p.Lost(1, loss("r", "a", true))
	p.Lost(2, loss("r", "b", true))
	if p.Check(3, 7) != Resting || p.Check(2+restMs, 7) != Suspect {
		t.Fatalf("the query is %s, then %s", p.Check(3, 7), p.Check(2+restMs, 7))
	}
	p.Clear(4, 7)
	if p.Check(5, 7) != Clear {
		t.Fatal("a whole answer did not clear the query")
	}
}

func TestDownSearcherBlamesNobody(t *testing.T) {
	var p Poison
	p.Lost(1, Loss{Query: 1, Request: "r", Searcher: "a"})
	p.Lost(5, Loss{Query: 2, Request: "s", Searcher: "a"})
	p.Lost(100, Loss{Query: 3, Request: "t", Searcher: "a"})
	for f, want := range map[yuccahinge.Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Clear} {
		if got := p.Check(101, f); got != want {
			t.Errorf("query %d is %s, want %s", f, got, want)
		}
	}
	p.Replied("a")
	if v, _ := p.Lost(200, Loss{Query: 3, Request: "t", Searcher: "a"}); v != Suspect {
		t.Error("a loss after a reply did not count")
	}
}

func TestReplyClearsSuspect(t *testing.T) {
	var p Poison
	p.Lost(1, loss("r", "a", false))
	p.Clear(2, 7)
	if p.Check(3, 7) != Clear || !p.Proven(7) {
		t.Fatal("a reply must clear a suspect")
	}
}

func TestNetworkFaultConfirmsNothing(t *testing.T) {
	var p Poison
	for i := range 40 {
		f := yuccahinge.Fingerprint(i % 10)
		id := yuccahinge.SearcherID(fmt.Sprint("s", i))
		p.Lost(yuccahinge.Millis(i), Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(i)), Searcher: id, Proven: i > 3})
	}
	for f := range yuccahinge.Fingerprint(10) {
		if p.Check(50, f) == Confirmed {
			t.Fatalf("query %d is refused for a fault of the network", f)
		}
	}
}

func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Poison{MaxConfirmed: 3, Burst: 1000}
		now := yuccahinge.Millis(1)
		for range rapid.IntRange(1, 400).Draw(t, "losses") {
			f := yuccahinge.Fingerprint(rapid.IntRange(0, 300).Draw(t, "query"))
			id := yuccahinge.SearcherID(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "searcher")))
			p.Lost(now, Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(now)), Searcher: id, Proven: rapid.Bool().Draw(t, "proven")})
			now++
		}
		confirmed := 0
		for _, e := range *p.table.Load() {
			if e.confirmed {
				confirmed++
			}
		}
		if n := len(*p.table.Load()); n > maxSuspects+3 || confirmed > 3 {
			t.Fatalf("%d entries, %d confirmed", n, confirmed)
		}
	})
}
