package gate

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestZeroGateIsOpen(t *testing.T) {
	var g Gate
	if !g.Wait(nil) {
		t.Fatal("the zero gate holds back")
	}
}

func TestShutForOpensByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.ShutFor(time.Second)
		began := time.Now()
		if !g.Wait(nil) || time.Since(began) != time.Second {
			t.Fatalf("held back for %v", time.Since(began))
		}
	})
}

func TestDoneEndsTheWait(t *testing.T) {
	var g Gate
	g.Shut()
	done := make(chan struct{})
	close(done)
	if g.Wait(done) {
		t.Fatal("a shut gate let pass")
	}
	g.Open()
	if !g.Wait(done) {
		t.Fatal("an open gate holds back")
	}
}

// A later freeze must not be ended by the timer of an earlier one.
func TestSecondFreezeReplacesTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.ShutFor(time.Second)
		g.ShutFor(3 * time.Second)
		began := time.Now()
		g.Wait(nil)
		if took := time.Since(began); took != 3*time.Second {
			t.Fatalf("held back for %v", took)
		}
	})
}
