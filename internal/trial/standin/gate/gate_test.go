package gate

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestZeroGateIsOpen(t *testing.T) {
	var g Gate
	if !g.Wait(nil) {
		t.Fatal("the zero gate blocks")
	}
}

func TestTimedCloseOpensAfterDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.CloseFor(time.Second)
		start := time.Now()
		if !g.Wait(nil) || time.Since(start) != time.Second {
			t.Fatalf("Wait blocked for %v", time.Since(start))
		}
	})
}

func TestWaitEndsWithDone(t *testing.T) {
	var g Gate
	g.Close()
	done := make(chan struct{})
	close(done)
	if g.Wait(done) {
		t.Fatal("Wait returned true at a closed gate")
	}
	g.Open()
	if !g.Wait(done) {
		t.Fatal("an open gate blocks")
	}
}

// Guards against the timer of an earlier timed close opening a gate that a later one keeps closed.
func TestSecondTimedCloseReplacesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.CloseFor(time.Second)
		g.CloseFor(3 * time.Second)
		start := time.Now()
		g.Wait(nil)
		if took := time.Since(start); took != 3*time.Second {
			t.Fatalf("Wait blocked for %v", took)
		}
	})
}
