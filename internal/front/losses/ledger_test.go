package losses

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestClaim guards against two reports of one run, and against questions that wait for a request that is gone.
func TestClaim(t *testing.T) {
	var l Ledger
	if !l.Open(0, 100, "a") || l.Open(1, 100, "a") {
		t.Fatal("a request is opened twice or not at all")
	}
	ended, ok := l.Ended(1, "a")
	if !ok {
		t.Fatal("an open request is unknown")
	}
	select {
	case <-ended:
		t.Fatal("an open request has ended")
	default:
	}
	l.End("a")
	<-ended
	for i, want := range []bool{true, false} {
		if first, tracked := l.Claim(2, "a"); first != want || !tracked {
			t.Errorf("claim %d: first %t, tracked %t", i, first, tracked)
		}
	}
	if _, tracked := l.Claim(100, "a"); tracked || !l.Open(100, 200, "a") {
		t.Error("a request is tracked after it has expired")
	}
	ended, _ = l.Ended(101, "a")
	l.Complete("a")
	<-ended
	if _, tracked := l.Claim(101, "a"); tracked {
		t.Error("a completed request is tracked")
	}
}

// TestLedgerIsBounded guards against memory that grows with the requests, and questions that wait for ever for those that were dropped.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for i := range maxEntries {
		l.Open(0, 100, yuccahinge.RequestID(fmt.Sprint(i)))
	}
	if l.Open(1, 100, "one more") {
		t.Errorf("more than %d requests are tracked", maxEntries)
	}
	ended, _ := l.Ended(1, "7")
	if !l.Open(sweepMs, sweepMs+100, "later") {
		t.Error("expired requests take room")
	}
	<-ended
}
