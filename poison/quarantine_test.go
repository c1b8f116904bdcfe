package poison

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func loss(r yuccahinge.RequestID, id yuccahinge.SearcherID, proven bool) Loss {
	return Loss{Query: 7, Request: r, Searcher: id, OthersReplied: proven}
}

func verdict(v Verdict, _ bool) Verdict { return v }

// TestConfirmsQueryWithReplies covers queries that crash some shards and get replies from others.
func TestConfirmsQueryWithReplies(t *testing.T) {
	for _, c := range []struct {
		remote   bool
		requests []yuccahinge.RequestID
		want     []Verdict
	}{
		{false, []yuccahinge.RequestID{"r", "r", "r", "r"}, []Verdict{Suspect, Suspect, Suspect, Suspect}},
		{false, []yuccahinge.RequestID{"r", "r", "s"}, []Verdict{Suspect, Suspect, Confirmed}},
		{true, []yuccahinge.RequestID{"r"}, []Verdict{Confirmed}},
	} {
		var p Quarantine
		if c.remote {
			p.ApplyNotice(1, p.Notice(7, Suspect, 0))
		}
		for i, r := range c.requests {
			id := yuccahinge.SearcherID(fmt.Sprint(i))
			v, announce := p.RecordLoss(yuccahinge.Millis(i+1), loss(r, id, true))
			if v != c.want[i] || announce != (i == 1 || v == Confirmed) {
				t.Errorf("%v: verdict after loss %d is %s, announce %t", c.requests, i, v, announce)
			}
		}
	}
}

func TestTwoLostSearchersConfirm(t *testing.T) {
	var p Quarantine
	if verdict(p.RecordLoss(1, loss("r", "a", false))) != Suspect || p.Check(2, 7) != Suspect {
		t.Fatal("query is not a suspect after one loss")
	}
	p.RecordReply("a")
	if verdict(p.RecordLoss(3, loss("s", "a", false))) != Suspect {
		t.Fatal("two losses of one searcher confirmed the query")
	}
	if verdict(p.RecordLoss(4, loss("s", "b", false))) != Confirmed || p.Check(5, 7) != Confirmed {
		t.Fatal("two lost searchers did not confirm the query")
	}
	if p.Check(4+defaultHoldMs, 7) != Clear {
		t.Fatal("query is still in quarantine after its end")
	}
}

func TestNoticesCarryVerdicts(t *testing.T) {
	for _, v := range []Verdict{Suspect, Confirmed} {
		var sender, receiver Quarantine
		added := receiver.ApplyNotice(1, sender.Notice(0xfeed, v, 12))
		want := Cooldown
		if v == Confirmed {
			want = Confirmed
		}
		if got := receiver.Check(2, 0xfeed); got != want || added != (v == Confirmed) {
			t.Errorf("notice of verdict %s gives verdict %s, added %t", v, got, added)
		}
		if v == Suspect && receiver.LostShard(0xfeed) != 12 {
			t.Errorf("shard is %d, want 12", receiver.LostShard(0xfeed))
		}
	}
	var p Quarantine
	for _, key := range []string{"", "zz", "1/x", "/", "1/99999999999"} {
		p.ApplyNotice(1, yuccahinge.Notice{Kind: yuccahinge.NoticeSuspect, Key: key})
	}
	if p.table.Load() != nil {
		t.Error("a malformed notice changed the table")
	}
}

func TestCooldownAfterTwoLosses(t *testing.T) {
	var p Quarantine
	p.RecordLoss(1, loss("r", "a", true))
	p.RecordLoss(2, loss("r", "b", true))
	if p.Check(3, 7) != Cooldown || p.Check(2+cooldownMs, 7) != Suspect {
		t.Fatalf("verdict is %s, then %s; want resting, then suspect", p.Check(3, 7), p.Check(2+cooldownMs, 7))
	}
	p.RecordComplete(4, 7)
	if p.Check(5, 7) != Clear {
		t.Fatal("Clear did not clear the query")
	}
}

func TestLossOfDownSearcherIsIgnored(t *testing.T) {
	var p Quarantine
	p.RecordLoss(1, Loss{Query: 1, Request: "r", Searcher: "a"})
	p.RecordLoss(5, Loss{Query: 2, Request: "s", Searcher: "a"})
	p.RecordLoss(100, Loss{Query: 3, Request: "t", Searcher: "a"})
	for f, want := range map[yuccahinge.Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Clear} {
		if got := p.Check(101, f); got != want {
			t.Errorf("verdict on query %d is %s, want %s", f, got, want)
		}
	}
	p.RecordReply("a")
	if v, _ := p.RecordLoss(200, Loss{Query: 3, Request: "t", Searcher: "a"}); v != Suspect {
		t.Error("loss after a reply was ignored")
	}
}

func TestRepliesClearSuspect(t *testing.T) {
	var p Quarantine
	p.RecordLoss(1, loss("r", "a", false))
	p.RecordComplete(2, 7)
	if p.Check(3, 7) != Clear || !p.Proven(7) {
		t.Fatal("Clear did not clear the suspect")
	}
}

func TestBurstOfLossesConfirmsNothing(t *testing.T) {
	var p Quarantine
	for i := range 40 {
		f := yuccahinge.Fingerprint(i % 10)
		id := yuccahinge.SearcherID(fmt.Sprint("s", i))
		p.RecordLoss(yuccahinge.Millis(i), Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(i)), Searcher: id, OthersReplied: i > 3})
	}
	for f := range yuccahinge.Fingerprint(10) {
		if p.Check(50, f) == Confirmed {
			t.Fatalf("query %d was confirmed during a network fault", f)
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Quarantine{MaxConfirmed: 3, BurstLosses: 1000}
		now := yuccahinge.Millis(1)
		for range rapid.IntRange(1, 400).Draw(t, "losses") {
			f := yuccahinge.Fingerprint(rapid.IntRange(0, 300).Draw(t, "query"))
			id := yuccahinge.SearcherID(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "searcher")))
			p.RecordLoss(now, Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(now)), Searcher: id, OthersReplied: rapid.Bool().Draw(t, "proven")})
			now++
		}
		confirmed := 0
		for _, e := range *p.table.Load() {
			if e.confirmed {
				confirmed++
			}
		}
		if n := len(*p.table.Load()); n > maxSuspects+3 || confirmed > 3 {
			t.Fatalf("table has %d entries, %d of them confirmed", n, confirmed)
		}
	})
}
