package system

import (
	"fmt"
	"sync"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// link is a relay process in front of an address. It can block or reset the traffic. Its fields are addresses.
type link struct{ listen, control string }

func newLink(t *testing.T, target string) *link {
	t.Helper()
	r := readAnnouncement(t, startProcess(t, "link to "+target, "standin", "link", "--target", target))
	return &link{listen: r.Listen, control: r.Control}
}

// setFault sets the faults of the link.
func (l *link) setFault(t *testing.T, f map[string]any) {
	t.Helper()
	mustSend(t, "POST", "http://"+l.control+"/control", f, nil)
}

// linkSearchers starts a link in front of every searcher and publishes the addresses of the links.
func (s *system) linkSearchers() []*link {
	s.t.Helper()
	var links []*link
	for i := range s.searchers {
		l := newLink(s.t, s.searchers[i].Listen)
		links = append(links, l)
		for _, service := range s.services {
			service.Index.Searchers[s.searchers[i].ID].Addr = l.listen
		}
	}
	s.publishEverywhere()
	return links
}

// Faults of a link, and healLink, which ends a cut.
var (
	cutReplies = map[string]any{"cut": "back"}
	cutBoth    = map[string]any{"cut": "both"}
	resetLink  = map[string]any{"reset": true}
	healLink   = map[string]any{"cut": "none"}
)

func TestOwnerCutOffDuringCharge(t *testing.T) {
	for name, fault := range map[string]map[string]any{"both ways": cutBoth, "replies only": cutReplies} {
		t.Run(name, func(t *testing.T) {
			s := newLinkedSystem(t, 4)
			s.services[billing].DeadlineMs = 1000
			s.publishEverywhere()
			s.setFault(slowCharges)
			forwarder := s.hosts[0]
			claim, key, owner := s.claimOwnedByOther(forwarder)
			waiting := forwarder.chargeAsync(t.Context(), claim, key)
			eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
			owner.link.setFault(t, fault)
			mustOutcome(t, <-waiting, yuccahinge.Unknown)
			for _, h := range s.others(owner) {
				mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
			}
			eventually(t, "the owner reports the outcome", func() bool {
				return owner.lookup(t.Context(), claim).Outcome == yuccahinge.Ran
			})
			owner.link.setFault(t, healLink)
			owner.link.setFault(t, resetLink)
			for _, h := range s.hosts {
				eventually(t, h.member.ID+" reports the outcome", func() bool {
					return h.charge(t.Context(), claim, key).Outcome == yuccahinge.Ran
				})
			}
			s.mustRun(key, 1)
		})
	}
}

func TestOwnerCutOffBeforeChargeRunsNothingAndOthersGrantClaims(t *testing.T) {
	s := newLinkedSystem(t, 4)
	s.services[billing].DeadlineMs = 500
	s.publishEverywhere()
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	owner.link.setFault(t, cutBoth)
	mustOutcome(t, forwarder.charge(t.Context(), claim, key), yuccahinge.Unknown)
	s.mustRun(key, 0)
	for i := range 20 {
		key := fmt.Sprintf("cut-%d", i)
		claim, at := s.mustClaim(forwarder, key)
		if at == owner {
			t.Errorf("the host that is cut off granted the claim for %s", key)
		}
		mustOutcome(t, forwarder.charge(t.Context(), claim, key), yuccahinge.Ran)
		s.mustRun(key, 1)
	}
}

func TestForwardResetDuringChargeReturnsItsOutcome(t *testing.T) {
	s := newLinkedSystem(t, 4)
	s.setFault(slowCharges)
	forwarder := s.hosts[0]
	claim, key, owner := s.claimOwnedByOther(forwarder)
	waiting := forwarder.chargeAsync(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.link.setFault(t, resetLink)
	mustOutcome(t, <-waiting, yuccahinge.Ran)
	s.mustRun(key, 1)
}

func TestConcurrentClaimsForOneKeyChargeOnce(t *testing.T) {
	s := newSystem(t, 4)
	for i := range 30 {
		key := fmt.Sprintf("invoice-%d", i)
		var group sync.WaitGroup
		for j := range s.hosts {
			group.Go(func() {
				r := s.hosts[j].claim(t.Context(), key)
				if r.Claim != "" {
					s.hosts[(j+1)%4].charge(t.Context(), r.Claim, key)
				}
			})
		}
		group.Wait()
		s.mustRun(key, 1)
	}
}

func TestCutRepliesDuringChargeLeaveOutcomeUnknown(t *testing.T) {
	s := newSystem(t, 3)
	s.services[billing].DeadlineMs = 500
	links := s.linkSearchers()
	for _, l := range links {
		l.setFault(t, map[string]any{"cut": "back"})
	}
	claim, owner := s.mustClaim(s.hosts[0], "k")
	mustOutcome(t, owner.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	for _, l := range links {
		l.setFault(t, map[string]any{"reset": true})
	}
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	}
	for _, l := range links {
		l.setFault(t, map[string]any{"cut": "none"})
	}
	for _, h := range s.hosts {
		mustOutcome(t, h.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	}
	s.mustRun("k", 1)
	if r := s.hosts[1].claim(t.Context(), "k"); r.Error.Code != yuccahinge.CodeConflict {
		t.Errorf("reply to another claim for the key is %+v, want a conflict", r)
	}
}

func TestCutRequestsRunNothing(t *testing.T) {
	s := newSystem(t, 3)
	s.services[billing].DeadlineMs = 500
	links := s.linkSearchers()
	for _, l := range links {
		l.setFault(t, map[string]any{"cut": "there"})
	}
	claim, owner := s.mustClaim(s.hosts[0], "k")
	// The host has sent the request, so it can't prove that the charge did not run.
	mustOutcome(t, owner.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	s.mustRun("k", 0)
	r := owner.search(t.Context(), client)
	if r.Err != nil || r.Outcome == yuccahinge.Complete || len(r.Coverage.Lacking) != shardCount {
		t.Errorf("reply to a search over cut links is %+v, want every shard lacking", r)
	}
	for _, l := range links {
		l.setFault(t, map[string]any{"cut": "none"})
	}
	eventually(t, "searches cover all shards again", func() bool {
		return owner.search(t.Context(), client).Outcome == yuccahinge.Complete
	})
}

func TestOneUnreachableSearcherLosesNoShard(t *testing.T) {
	s := newSystem(t, 3)
	links := s.linkSearchers()
	links[0].setFault(t, map[string]any{"cut": "both"})
	eventually(t, "searches cover all shards", func() bool {
		return s.hosts[0].search(t.Context(), client).Outcome == yuccahinge.Complete
	})
	for range 20 {
		mustCover(t, s.hosts[0].search(t.Context(), client))
	}
}
