package syncer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// skewedClock jumps forward, like the clock of a process that was stopped for a while.
type skewedClock struct{ skew atomic.Int64 }

func (c *skewedClock) Now() yuccahinge.Millis {
	return testClock{}.Now() + yuccahinge.Millis(c.skew.Load())
}

// runCutOff runs f with a host that was disconnected from all others when ticket 2 came into force on the other host.
func runCutOff(t *testing.T, f func(fleet *testFleet, h *Syncer, clock *skewedClock, heal func())) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := &testFleet{t: t}
		fl.publish()
		var wait sync.WaitGroup
		other, h := fl.add(0, "d0"), fl.add(1, "d1")
		clock := &skewedClock{}
		h.Clock = clock
		h.Source = unreachablePlatform{}
		run(ctx, &wait, other)
		time.Sleep(time.Second)
		h.Seeds = []string{other.Self.PeerAddr}
		run(ctx, &wait, h)
		time.Sleep(3 * time.Second)
		fl.mu.Lock()
		fl.cut = func(string, string) bool { return true }
		fl.mu.Unlock()
		fl.publish()
		time.Sleep(1500 * time.Millisecond)
		f(fl, h, clock, func() {
			fl.mu.Lock()
			fl.cut = nil
			fl.mu.Unlock()
		})
		cancel()
		wait.Wait()
	})
}

// unreachablePlatform is a platform that every call fails to reach.
type unreachablePlatform struct{}

func (unreachablePlatform) Head(context.Context, yuccahinge.TicketNumber, yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	return 0, errCut
}

func (unreachablePlatform) Ticket(context.Context, yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	return nil, errCut
}

func (unreachablePlatform) State(context.Context) (*yuccahinge.State, error) { return nil, errCut }

func (unreachablePlatform) Members(context.Context) ([]yuccahinge.Member, error) { return nil, errCut }

func TestCatchUp(t *testing.T) {
	runCutOff(t, func(_ *testFleet, h *Syncer, _ *skewedClock, heal func()) {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var typed *yuccahinge.Error
		if err := h.CatchUp(ctx, 2); !errors.As(err, &typed) || typed.Code != yuccahinge.CodeUnavailable {
			t.Errorf("CatchUp on a disconnected host returned %v, want CodeUnavailable", err)
		}
		heal()
		ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		if err := h.CatchUp(ctx, 2); err != nil {
			t.Error(err)
		}
		if s, _ := h.State(); s.Ticket != 2 {
			t.Errorf("after CatchUp ticket %d is in force, want 2", s.Ticket)
		}
	})
}

func TestRefreshAfterAPause(t *testing.T) {
	runCutOff(t, func(_ *testFleet, h *Syncer, clock *skewedClock, heal func()) {
		clock.skew.Store(5000)
		started := time.Now()
		h.Refresh(context.Background())
		if took := time.Since(started); took > 40*time.Millisecond {
			t.Errorf("Refresh on a disconnected host took %s, want at most 40ms", took)
		}
		if s, age := h.State(); s.Ticket != 1 || age < 5000 {
			t.Errorf("disconnected host has ticket %d of age %v, want ticket 1 of age 5000 or more", s.Ticket, age)
		}
		heal()
		clock.skew.Store(10000)
		h.Refresh(context.Background())
		if s, _ := h.State(); s.Ticket != 2 {
			t.Errorf("after a pause ticket %d is in force, want 2", s.Ticket)
		}
	})
}

// TestPauseDuringRefresh pauses the process a second time while it waits for its peers, which become reachable only
// then. The host must compare with them again.
func TestPauseDuringRefresh(t *testing.T) {
	runCutOff(t, func(fl *testFleet, h *Syncer, clock *skewedClock, _ func()) {
		fl.mu.Lock()
		fl.cut = func(string, string) bool {
			return clock.skew.Swap(10000) == 5000
		}
		fl.mu.Unlock()
		clock.skew.Store(5000)
		h.Refresh(context.Background())
		if s, _ := h.State(); s.Ticket != 2 {
			t.Errorf("after the second pause ticket %d is in force, want 2", s.Ticket)
		}
	})
}
