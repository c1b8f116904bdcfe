package proof

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

// slow makes a charge last about a second and a half at the searchers.
var slow = map[string]any{"slowFactor": 750}

// fast takes slow back.
var fast = map[string]any{"slowFactor": 0}

// mustClaim returns a claim from a host and the host that owns it.
func (s *site) mustClaim(h *host, key string) (yuccahinge.ClaimID, *host) {
	s.t.Helper()
	r := h.claim(s.t.Context(), key)
	k, err := token.Parse(r.Claim)
	if r.Err != nil || err != nil {
		s.t.Fatalf("claim from %s is %+v, %v", h.member.ID, r, err)
	}
	return r.Claim, s.host(string(k.Owner))
}

// claimOf returns a claim that is owned by neither of the others, the key, and its owner.
func (s *site) claimNotOf(avoid ...*host) (yuccahinge.ClaimID, string, *host) {
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
	s.t.Fatal("no claim with another owner")
	return "", "", nil
}

func (s *site) host(id string) *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.member.ID == id {
			return h
		}
	}
	s.t.Fatalf("no host %s", id)
	return nil
}

func (s *site) others(than *host) []*host {
	var out []*host
	for _, h := range s.hosts {
		if h != than {
			out = append(out, h)
		}
	}
	return out
}

// mustAnswer checks a reply to a charge.
func mustAnswer(t *testing.T, r reply, want yuccahinge.Outcome) {
	t.Helper()
	if r.Err != nil || r.Outcome != want {
		t.Fatalf("reply is %+v, want %s", r, want)
	}
}

// chargeLater sends a charge from a goroutine of its own.
func (h *host) chargeLater(ctx context.Context, claim yuccahinge.ClaimID, key string) <-chan reply {
	c := make(chan reply, 1)
	go func() { c <- h.charge(ctx, claim, key) }()
	return c
}

func TestAChargeSentThreeTimesToThreeHostsRunsOnce(t *testing.T) {
	s := newSite(t, 4)
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
			t.Errorf("a second claim for %s gives %+v", key, r)
		}
	}
}

func TestACallerThatResendsToOtherHostsIsChargedOnce(t *testing.T) {
	s := newSite(t, 4)
	s.fault(slow)
	claim, key, _ := s.claimNotOf(s.hosts[0])
	for _, h := range s.hosts {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if r := h.charge(ctx, claim, key); r.Err == nil {
			t.Fatalf("reply is %+v before its time", r)
		}
		cancel()
	}
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
	}
	s.mustRun(key, 1)
}

func TestOwnerKilledInMidCharge(t *testing.T) {
	s := newSite(t, 4)
	s.fault(slow)
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	waiting := front.chargeLater(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.kill()
	mustAnswer(t, <-waiting, yuccahinge.Unknown)
	s.fault(fast)
	for _, h := range s.others(owner) {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
		mustAnswer(t, h.lookup(t.Context(), claim), yuccahinge.Unknown)
	}
	s.restart(owner)
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	s.mustRun(key, 1)
}

func TestOwnerKilledBeforeItsChargeRunsNothing(t *testing.T) {
	s := newSite(t, 4)
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	owner.kill()
	for _, h := range s.others(owner) {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	s.restart(owner)
	mustAnswer(t, front.charge(t.Context(), claim, key), yuccahinge.Unknown)
	s.mustRun(key, 0)
}

func TestOwnerStoppedInMidCharge(t *testing.T) {
	s := newSite(t, 4)
	s.services[billing].DeadlineMs = 1000
	s.publishEverywhere()
	s.fault(slow)
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	waiting := front.chargeLater(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.signal(t, syscall.SIGSTOP)
	mustAnswer(t, <-waiting, yuccahinge.Unknown)
	for _, h := range s.others(owner) {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	owner.signal(t, syscall.SIGCONT)
	eventually(t, "the outcome is known", func() bool {
		r := front.charge(t.Context(), claim, key)
		return r.Outcome == yuccahinge.Ran
	})
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
	}
	s.mustRun(key, 1)
}

func TestOwnerStoppedBeforeItsChargeWakesLate(t *testing.T) {
	s := newSite(t, 4)
	s.services[billing].DeadlineMs = 500
	s.publishEverywhere()
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	owner.signal(t, syscall.SIGSTOP)
	for _, h := range s.others(owner) {
		mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
	}
	owner.signal(t, syscall.SIGCONT)
	// The woken owner may have started the charge from what waited in its sockets, or start it now.
	eventually(t, "the outcome is known", func() bool {
		r := front.charge(t.Context(), claim, key)
		return r.Outcome == yuccahinge.Ran || r.Outcome == yuccahinge.NotRun
	})
	last := front.charge(t.Context(), claim, key)
	want := 0
	if last.Outcome == yuccahinge.Ran {
		want = 1
	}
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, key), last.Outcome)
	}
	s.mustRun(key, want)
}
