package claim

import (
	"errors"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

const service yuccahinge.ServiceName = "billing"

func grant(t *testing.T, tab *Table, now yuccahinge.Millis, key string) yuccahinge.ClaimID {
	t.Helper()
	g, err := tab.Grant(now, yuccahinge.ClaimRequest{Service: service, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return g.Claim
}

func newTable() *Table { return &Table{Owner: "h1", Incarnation: "i1"} }

func expect(t *testing.T, d Decision, v Verdict, o yuccahinge.Outcome, cause error) {
	t.Helper()
	if d.Verdict != v || d.Answer.Outcome != o && v == Repeat || !errors.Is(d.Err, cause) {
		t.Fatalf("decision is %+v, want %s %s %v", d, v, o, cause)
	}
}

func TestBeginStartsAClaimOnce(t *testing.T) {
	tab := newTable()
	id := grant(t, tab, 0, "k")
	expect(t, tab.Begin(1, id, service, "d"), Start, "", nil)
	expect(t, tab.Begin(2, id, service, "d"), Wait, "", nil)
	expect(t, tab.Begin(2, id, service, "other"), Refuse, "", ErrOtherUse)
	expect(t, tab.Begin(2, id, "archive", "d"), Refuse, "", ErrOtherUse)
	if err := tab.End(3, id, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown}); err != nil {
		t.Fatal(err)
	}
	expect(t, tab.Begin(4, id, service, "d"), Repeat, yuccahinge.Unknown, nil)
	if err := tab.End(5, id, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran}); !errors.Is(err, ErrNotRunning) {
		t.Fatalf("second end gives %v", err)
	}
}

func TestKeyIsHeldUntilNotRun(t *testing.T) {
	tab := newTable()
	first, second := grant(t, tab, 0, "k"), grant(t, tab, 0, "k")
	expect(t, tab.Begin(1, first, service, "d"), Start, "", nil)
	expect(t, tab.Begin(1, second, service, "d"), Refuse, "", ErrKeyHeld)
	if _, err := tab.Grant(1, yuccahinge.ClaimRequest{Service: service, Key: "k"}); !errors.Is(err, ErrKeyHeld) {
		t.Fatalf("grant of a held key gives %v", err)
	}
	if err := tab.End(2, first, yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun}); err != nil {
		t.Fatal(err)
	}
	expect(t, tab.Begin(3, second, service, "d"), Start, "", nil)
}

func TestClaimsFromNowhereAreRefused(t *testing.T) {
	tab := newTable()
	id := grant(t, tab, 0, "k")
	forged := id[:len(id)-1] + "0"
	if forged == id {
		forged = id[:len(id)-1] + "1"
	}
	expect(t, tab.Begin(1, forged, service, "d"), Refuse, "", ErrNotGranted)
	expect(t, tab.Begin(1, "c1~h2~i1~1~9~00000000000000000000000000000000", service, "d"), Refuse, "", ErrNotGranted)
	expect(t, tab.Begin(1, "c1~h1~i0~1~9~00000000000000000000000000000000", service, "d"), Repeat, yuccahinge.Unknown, nil)
}

func TestExpiredAndSealedClaimsDidNotRun(t *testing.T) {
	tab := newTable()
	old := grant(t, tab, 0, "old")
	expect(t, tab.Begin(DefaultLife, old, service, "d"), Repeat, yuccahinge.NotRun, nil)
	forgotten := DefaultLife + margin
	expect(t, tab.Begin(forgotten, old, service, "d"), Repeat, yuccahinge.Unknown, nil)

	unused, used := grant(t, tab, forgotten, "unused"), grant(t, tab, forgotten, "used")
	expect(t, tab.Begin(forgotten, used, service, "d"), Start, "", nil)
	if n := tab.Seal(forgotten); n != 1 {
		t.Fatalf("%d claims sealed, want 1", n)
	}
	expect(t, tab.Begin(forgotten, unused, service, "d"), Repeat, yuccahinge.NotRun, nil)
	expect(t, tab.Begin(forgotten, used, service, "d"), Wait, "", nil)
	if _, err := tab.Grant(forgotten, yuccahinge.ClaimRequest{Service: service, Key: "x"}); !errors.Is(err, ErrSealed) {
		t.Fatalf("grant after the seal gives %v", err)
	}
}

func TestFullTableRefusesAndForgetsOnlyTheExpired(t *testing.T) {
	tab := newTable()
	tab.Limit = 2
	running := grant(t, tab, 0, "a")
	expect(t, tab.Begin(0, running, service, "d"), Start, "", nil)
	grant(t, tab, 0, "b")
	if _, err := tab.Grant(1, yuccahinge.ClaimRequest{Service: service, Key: "c"}); !errors.Is(err, ErrFull) {
		t.Fatalf("grant by a full table gives %v", err)
	}
	later := DefaultLife + 10*DefaultKeep
	grant(t, tab, later, "c")
	expect(t, tab.Begin(later, running, service, "d"), Wait, "", nil)
}
