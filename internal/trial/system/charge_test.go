package system

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/token"
)

// slowCharges is a fault that makes a charge take about 1.5 s at the searchers.
var slowCharges = map[string]any{"slowFactor": 750}

// normalCharges ends slowCharges.
var normalCharges = map[string]any{"slowFactor": 0}

// mustClaim returns a claim from a host and the host that owns it.
func (s *system) mustClaim(h *host, key string) (yuccahinge.ClaimID, *host) {
	s.t.Helper()
	r := h.claim(s.t.Context(), key)
	k, err := token.Parse(r.Claim)
	if r.Err != nil || err != nil {
		s.t.Fatalf("claim from %s: reply %+v, error %v", h.member.ID, r, err)
	}
	return r.Claim, s.mustHost(string(k.Owner))
}

// claimOwnedByOther returns a claim that none of the hosts to avoid owns, its key and its owner.
func (s *system) claimOwnedByOther(avoid ...*host) (yuccahinge.ClaimID, string, *host) {
	s.t.Helper()
next:
	for i := range 200 {
		key := fmt.Sprintf("key-%d", i)
		claim, owner := s.mustClaim(avoid[0], key)
		for _, h := range avoid {
			if h == owner {
				continue next
			}
		}
		return claim, key, owner
	}
	s.t.Fatal("no claim is owned by another host")
	return "", "", nil
}

func (s *system) mustHost(id string) *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.member.ID == id {
			return h
		}
	}
	s.t.Fatalf("no host %s", id)
	return nil
}

func (s *system) others(than *host) []*host {
	var out []*host
	for _, h := range s.hosts {
		if h != than {
			out = append(out, h)
		}
	}
	return out
}

// mustOutcome fails the test unless a reply has the outcome.
func mustOutcome(t *testing.T, r reply, want yuccahinge.Outcome) {
	t.Helper()
	if r.Err != nil || r.Outcome != want {
		t.Fatalf("reply is %+v, want %s", r, want)
	}
}

// chargeAsync sends a charge from a new goroutine and returns the channel for its reply.
func (h *host) chargeAsync(ctx context.Context, claim yuccahinge.ClaimID, key string) <-chan reply {
	c := make(chan reply, 1)
	go func() { c <- h.charge(ctx, claim, key) }()
	return c
}

func TestChargeSentThreeTimesToThreeHostsRunsOnce(t *testing.T) {
	s := newSystem(t, 4)
	for i := range 20 {
		key := fmt.Sprintf("invoice-%d", i)
		claim, _ := s.mustClaim(s.hosts[i%4], key)
		var wg sync.WaitGroup
		for _, h := range s.hosts[:3] {
			for range 3 {
				wg.Go(func() {
					if r := h.charge(t.Context(), claim, key); r.Outcome != yuccahinge.Ran {
						t.Errorf("reply is %+v, want ran", r)
					}
				})
			}
		}
		wg.Wait()
		s.mustRun(key, 1)
		if r := s.hosts[i%3].claim(t.Context(), key); r.Error.Code != yuccahinge.CodeConflict {
			t.Errorf("reply to a second claim for %s is %+v, want a conflict", key, r)
		}
	}
}

func TestCallerThatRetriesOnOtherHostsIsChargedOnce(t *testing.T) {
	s := newSystem(t, 4)
	s.setFault(slowCharges)
	claim, key, _ := s.claimOwnedByOther(s.hosts[0])
	for _, h := range s.hosts {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if r := h.charge(ctx, claim, key); r.Err == nil {
			t.Fatalf("reply is %+v, want a timeout", r)
		}
		cancel()
	}
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
	}
	s.mustRun(key, 1)
}

func TestOwnerKilledDuringCharge(t *testing.T) {
	s := newSystem(t, 4)
	s.setFault(slowCharges)
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	waiting := forwarder.chargeAsync(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.kill()
	mustOutcome(t, <-waiting, yuccahinge.Unknown)
	s.setFault(normalCharges)
	for _, h := range s.others(owner) {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
		mustOutcome(t, h.lookup(t.Context(), claim), yuccahinge.Unknown)
	}
	s.restart(owner)
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	s.mustRun(key, 1)
}

func TestOwnerKilledBeforeChargeRunsNothing(t *testing.T) {
	s := newSystem(t, 4)
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	owner.kill()
	for _, h := range s.others(owner) {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	s.restart(owner)
	mustOutcome(t, forwarder.charge(t.Context(), claim, key), yuccahinge.Unknown)
	s.mustRun(key, 0)
}

func TestOwnerPausedDuringCharge(t *testing.T) {
	s := newSystem(t, 4)
	s.services[billing].DeadlineMs = 1000
	s.publishEverywhere()
	s.setFault(slowCharges)
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	waiting := forwarder.chargeAsync(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.signal(t, syscall.SIGSTOP)
	mustOutcome(t, <-waiting, yuccahinge.Unknown)
	for _, h := range s.others(owner) {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	owner.signal(t, syscall.SIGCONT)
	eventually(t, "the outcome is known", func() bool {
		r := forwarder.charge(t.Context(), claim, key)
		return r.Outcome == yuccahinge.Ran
	})
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
	}
	s.mustRun(key, 1)
}

func TestOwnerPausedBeforeChargeResumesAfterDeadline(t *testing.T) {
	s := newSystem(t, 4)
	s.services[billing].DeadlineMs = 500
	s.publishEverywhere()
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	owner.signal(t, syscall.SIGSTOP)
	for _, h := range s.others(owner) {
		mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	owner.signal(t, syscall.SIGCONT)
	// The resumed owner may have run the charge from requests buffered in its sockets, or may run it now.
	eventually(t, "the outcome is known", func() bool {
		r := forwarder.charge(t.Context(), claim, key)
		return r.Outcome == yuccahinge.Ran || r.Outcome == yuccahinge.NotRun
	})
	last := forwarder.charge(t.Context(), claim, key)
	want := 0
	if last.Outcome == yuccahinge.Ran {
		want = 1
	}
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, key), last.Outcome)
	}
	s.mustRun(key, want)
}
