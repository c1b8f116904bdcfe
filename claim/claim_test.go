package claim

import (
	"errors"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

const service yuccahinge.ServiceName = "billing"

func mustGrant(t *testing.T, table *Table, now yuccahinge.Millis, key string) yuccahinge.ClaimID {
	t.Helper()
	grant, err := table.Grant(now, yuccahinge.ClaimRequest{Service: service, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return grant.Claim
}

func newTable() *Table { return &Table{Owner: "h1", Incarnation: "i1"} }

func checkDecision(t *testing.T, d Decision, v Verdict, o yuccahinge.Outcome, cause error) {
	t.Helper()
	if d.Verdict != v || d.Answer.Outcome != o && v == Replay || !errors.Is(d.Err, cause) {
		t.Fatalf("decision is %+v, want verdict %s, outcome %q, error %v", d, v, o, cause)
	}
}

func TestBeginStartsClaimOnce(t *testing.T) {
	table := newTable()
	id := mustGrant(t, table, 0, "k")
	checkDecision(t, table.Begin(1, id, service, "d"), Start, "", nil)
	checkDecision(t, table.Begin(2, id, service, "d"), Wait, "", nil)
	checkDecision(t, table.Begin(2, id, service, "other"), Refuse, "", ErrMismatch)
	checkDecision(t, table.Begin(2, id, "archive", "d"), Refuse, "", ErrMismatch)
	if err := table.End(3, id, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown}); err != nil {
		t.Fatal(err)
	}
	checkDecision(t, table.Begin(4, id, service, "d"), Replay, yuccahinge.Unknown, nil)
	if err := table.End(5, id, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran}); !errors.Is(err, ErrNotRunning) {
		t.Fatalf("second End returned error %v, want ErrNotRunning", err)
	}
}

func TestKeyIsFreeAfterNotRun(t *testing.T) {
	table := newTable()
	first, second := mustGrant(t, table, 0, "k"), mustGrant(t, table, 0, "k")
	checkDecision(t, table.Begin(1, first, service, "d"), Start, "", nil)
	checkDecision(t, table.Begin(1, second, service, "d"), Refuse, "", ErrKeyInUse)
	if _, err := table.Grant(1, yuccahinge.ClaimRequest{Service: service, Key: "k"}); !errors.Is(err, ErrKeyInUse) {
		t.Fatalf("Grant of a key in use returned error %v, want ErrKeyInUse", err)
	}
	if err := table.End(2, first, yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun}); err != nil {
		t.Fatal(err)
	}
	checkDecision(t, table.Begin(3, second, service, "d"), Start, "", nil)
}

func TestForgedAndForeignClaims(t *testing.T) {
	table := newTable()
	id := mustGrant(t, table, 0, "k")
	forged := id[:len(id)-1] + "0"
	if forged == id {
		forged = id[:len(id)-1] + "1"
	}
	checkDecision(t, table.Begin(1, forged, service, "d"), Refuse, "", ErrNotGranted)
	checkDecision(t, table.Begin(1, "c1~h2~i1~1~9~00000000000000000000000000000000", service, "d"), Refuse, "", ErrNotGranted)
	checkDecision(t, table.Begin(1, "c1~h1~i0~1~9~00000000000000000000000000000000", service, "d"), Replay, yuccahinge.Unknown, nil)
}

func TestExpiredAndSealedClaimsAreNotRun(t *testing.T) {
	table := newTable()
	old := mustGrant(t, table, 0, "old")
	checkDecision(t, table.Begin(DefaultTTL, old, service, "d"), Replay, yuccahinge.NotRun, nil)
	evictedAt := DefaultTTL + unusedRetention
	checkDecision(t, table.Begin(evictedAt, old, service, "d"), Replay, yuccahinge.Unknown, nil)

	unused, used := mustGrant(t, table, evictedAt, "unused"), mustGrant(t, table, evictedAt, "used")
	checkDecision(t, table.Begin(evictedAt, used, service, "d"), Start, "", nil)
	if n := table.Seal(evictedAt); n != 1 {
		t.Fatalf("Seal ended %d claims, want 1", n)
	}
	checkDecision(t, table.Begin(evictedAt, unused, service, "d"), Replay, yuccahinge.NotRun, nil)
	checkDecision(t, table.Begin(evictedAt, used, service, "d"), Wait, "", nil)
	if _, err := table.Grant(evictedAt, yuccahinge.ClaimRequest{Service: service, Key: "x"}); !errors.Is(err, ErrSealed) {
		t.Fatalf("Grant after Seal returned error %v, want ErrSealed", err)
	}
}

func TestFullTableEvictsOnlyExpiredClaims(t *testing.T) {
	table := newTable()
	table.MaxClaims = 2
	running := mustGrant(t, table, 0, "a")
	checkDecision(t, table.Begin(0, running, service, "d"), Start, "", nil)
	mustGrant(t, table, 0, "b")
	if _, err := table.Grant(1, yuccahinge.ClaimRequest{Service: service, Key: "c"}); !errors.Is(err, ErrFull) {
		t.Fatalf("Grant on a full table returned error %v, want ErrFull", err)
	}
	later := DefaultTTL + 10*DefaultRetention
	mustGrant(t, table, later, "c")
	checkDecision(t, table.Begin(later, running, service, "d"), Wait, "", nil)
}
