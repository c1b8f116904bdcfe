package poison

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func loss(r yuccahinge.RequestID, id yuccahinge.SearcherID, othersReplied bool) Loss {
	return Loss{Query: 7, Request: r, Searcher: id, OthersReplied: othersReplied}
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
		var q Quarantine
		if c.remote {
			q.ApplyNotice(1, q.Notice(7, Suspect, 0))
		}
		for i, r := range c.requests {
			id := yuccahinge.SearcherID(fmt.Sprint(i))
			v, announce := q.RecordLoss(yuccahinge.Millis(i+1), loss(r, id, true))
			if v != c.want[i] || announce != (i == 1 || v == Confirmed) {
				t.Errorf("%v: verdict after loss %d is %s, announce %t", c.requests, i, v, announce)
			}
		}
	}
}

func TestTwoLostSearchersConfirm(t *testing.T) {
	var q Quarantine
	if verdict(q.RecordLoss(1, loss("r", "a", false))) != Suspect || q.Check(2, 7) != Suspect {
		t.Fatal("query is not a suspect after one loss")
	}
	q.RecordReply("a")
	if verdict(q.RecordLoss(3, loss("s", "a", false))) != Suspect {
		t.Fatal("two losses of one searcher confirmed the query")
	}
	if verdict(q.RecordLoss(4, loss("s", "b", false))) != Confirmed || q.Check(5, 7) != Confirmed {
		t.Fatal("two lost searchers did not confirm the query")
	}
	if q.Check(4+defaultQuarantineMs, 7) != Clear {
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
	var q Quarantine
	for _, key := range []string{"", "zz", "1/x", "/", "1/99999999999"} {
		q.ApplyNotice(1, yuccahinge.Notice{Kind: yuccahinge.NoticeSuspect, Key: key})
	}
	if q.queries.Load() != nil {
		t.Error("a malformed notice changed the table")
	}
}

func TestCooldownAfterTwoLosses(t *testing.T) {
	var q Quarantine
	q.RecordLoss(1, loss("r", "a", true))
	q.RecordLoss(2, loss("r", "b", true))
	if q.Check(3, 7) != Cooldown || q.Check(2+cooldownMs, 7) != Suspect {
		t.Fatalf("verdict is %s, then %s; want resting, then suspect", q.Check(3, 7), q.Check(2+cooldownMs, 7))
	}
	q.RecordComplete(4, 7)
	if q.Check(5, 7) != Clear {
		t.Fatal("RecordComplete did not clear the query")
	}
}

func TestLossOfDownSearcherIsIgnored(t *testing.T) {
	var q Quarantine
	q.RecordLoss(1, Loss{Query: 1, Request: "r", Searcher: "a"})
	q.RecordLoss(5, Loss{Query: 2, Request: "s", Searcher: "a"})
	q.RecordLoss(100, Loss{Query: 3, Request: "t", Searcher: "a"})
	for f, want := range map[yuccahinge.Fingerprint]Verdict{1: Suspect, 2: Suspect, 3: Clear} {
		if got := q.Check(101, f); got != want {
			t.Errorf("verdict on query %d is %s, want %s", f, got, want)
		}
	}
	q.RecordReply("a")
	if v, _ := q.RecordLoss(200, Loss{Query: 3, Request: "t", Searcher: "a"}); v != Suspect {
		t.Error("loss after a reply was ignored")
	}
}

func TestRepliesClearSuspect(t *testing.T) {
	var q Quarantine
	q.RecordLoss(1, loss("r", "a", false))
	q.RecordComplete(2, 7)
	if q.Check(3, 7) != Clear || !q.Proven(7) {
		t.Fatal("RecordComplete did not clear the suspect")
	}
}

func TestBurstOfLossesConfirmsNothing(t *testing.T) {
	var q Quarantine
	for i := range 40 {
		f := yuccahinge.Fingerprint(i % 10)
		id := yuccahinge.SearcherID(fmt.Sprint("s", i))
		q.RecordLoss(yuccahinge.Millis(i), Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(i)), Searcher: id, OthersReplied: i > 3})
	}
	for f := range yuccahinge.Fingerprint(10) {
		if q.Check(50, f) == Confirmed {
			t.Fatalf("query %d was confirmed during a network fault", f)
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quarantine{MaxConfirmed: 3, BurstLosses: 1000}
		now := yuccahinge.Millis(1)
		for range rapid.IntRange(1, 400).Draw(t, "losses") {
			f := yuccahinge.Fingerprint(rapid.IntRange(0, 300).Draw(t, "query"))
			id := yuccahinge.SearcherID(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "searcher")))
			q.RecordLoss(now, Loss{Query: f, Request: yuccahinge.RequestID(fmt.Sprint(now)), Searcher: id, OthersReplied: rapid.Bool().Draw(t, "proven")})
			now++
		}
		confirmed := 0
		for _, e := range *q.queries.Load() {
			if e.confirmed {
				confirmed++
			}
		}
		if n := len(*q.queries.Load()); n > maxSuspects+3 || confirmed > 3 {
			t.Fatalf("table has %d entries, %d of them confirmed", n, confirmed)
		}
	})
}
