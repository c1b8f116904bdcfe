package proof

import (
	"fmt"
	"sync"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// link is a relay that a test can cut.
type link struct{ listen, control string }

func newLink(t *testing.T, target string) *link {
	t.Helper()
	r := announced(t, start(t, "link to "+target, "standin", "link", "--target", target))
	return &link{listen: r.Listen, control: r.Control}
}

// fault sets the faults of the link.
func (l *link) fault(t *testing.T, f map[string]any) {
	t.Helper()
	send(t, "POST", "http://"+l.control+"/control", f, nil)
}

// linkSearchers puts a link before every searcher.
func (s *site) linkSearchers() []*link {
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

// cut, reset and heal are the faults of a link.
var (
	cutBack = map[string]any{"cut": "back"}
	cutBoth = map[string]any{"cut": "both"}
	reset   = map[string]any{"reset": true}
	heal    = map[string]any{"cut": "none"}
)

func TestOwnerCutOffInMidCharge(t *testing.T) {
	for name, fault := range map[string]map[string]any{"both ways": cutBoth, "replies only": cutBack} {
		t.Run(name, func(t *testing.T) {
			s := newLinkedSite(t, 4)
			s.services[billing].DeadlineMs = 1000
			s.publishEverywhere()
			s.fault(slow)
			front := s.hosts[0]
			claim, key, owner := s.claimNotOf(front)
			waiting := front.chargeLater(t.Context(), claim, key)
			eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
			owner.link.fault(t, fault)
			mustAnswer(t, <-waiting, yuccahinge.Unknown)
			for _, h := range s.others(owner) {
				mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Unknown)
			}
			eventually(t, "the owner knows the outcome", func() bool {
				return owner.lookup(t.Context(), claim).Outcome == yuccahinge.Ran
			})
			owner.link.fault(t, heal)
			owner.link.fault(t, reset)
			for _, h := range s.hosts {
				eventually(t, h.member.ID+" knows the outcome", func() bool {
					return h.charge(t.Context(), claim, key).Outcome == yuccahinge.Ran
				})
			}
			s.mustRun(key, 1)
		})
	}
}

func TestOwnerCutOffBeforeAChargeRunsNothingAndOthersGrant(t *testing.T) {
	s := newLinkedSite(t, 4)
	s.services[billing].DeadlineMs = 500
	s.publishEverywhere()
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	owner.link.fault(t, cutBoth)
	mustAnswer(t, front.charge(t.Context(), claim, key), yuccahinge.Unknown)
	s.mustRun(key, 0)
	for i := range 20 {
		key := fmt.Sprintf("cut-%d", i)
		claim, at := s.mustClaim(front, key)
		if at == owner {
			t.Errorf("the host that is cut off granted the claim for %s", key)
		}
		mustAnswer(t, front.charge(t.Context(), claim, key), yuccahinge.Ran)
		s.mustRun(key, 1)
	}
}

func TestAForwardBrokenInMidChargeFindsTheRun(t *testing.T) {
	s := newLinkedSite(t, 4)
	s.fault(slow)
	front := s.hosts[0]
	claim, key, owner := s.claimNotOf(front)
	waiting := front.chargeLater(t.Context(), claim, key)
	eventually(t, "the charge has started", func() bool { return s.runs()[key] == 1 })
	owner.link.fault(t, reset)
	mustAnswer(t, <-waiting, yuccahinge.Ran)
	s.mustRun(key, 1)
}

func TestTwoClerksWithOneInvoiceChargeItOnce(t *testing.T) {
	s := newSite(t, 4)
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

func TestALinkCutBackInMidChargeLeavesItUnknown(t *testing.T) {
	s := newSite(t, 3)
	s.services[billing].DeadlineMs = 500
	links := s.linkSearchers()
	for _, l := range links {
		l.fault(t, map[string]any{"cut": "back"})
	}
	claim, owner := s.mustClaim(s.hosts[0], "k")
	mustAnswer(t, owner.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	for _, l := range links {
		l.fault(t, map[string]any{"reset": true})
	}
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	}
	for _, l := range links {
		l.fault(t, map[string]any{"cut": "none"})
	}
	for _, h := range s.hosts {
		mustAnswer(t, h.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	}
	s.mustRun("k", 1)
	if r := s.hosts[1].claim(t.Context(), "k"); r.Error.Code != yuccahinge.CodeConflict {
		t.Errorf("another claim for the key gives %+v", r)
	}
}

func TestLinksCutThereRunNothing(t *testing.T) {
	s := newSite(t, 3)
	s.services[billing].DeadlineMs = 500
	links := s.linkSearchers()
	for _, l := range links {
		l.fault(t, map[string]any{"cut": "there"})
	}
	claim, owner := s.mustClaim(s.hosts[0], "k")
	// The request left this process, so that nobody can tell that it did not run.
	mustAnswer(t, owner.charge(t.Context(), claim, "k"), yuccahinge.Unknown)
	s.mustRun("k", 0)
	r := owner.search(t.Context(), client)
	if r.Err != nil || r.Outcome == yuccahinge.Complete || len(r.Coverage.Lacking) != shards {
		t.Errorf("a search over cut links gives %+v, want every shard lacking", r)
	}
	for _, l := range links {
		l.fault(t, map[string]any{"cut": "none"})
	}
	eventually(t, "searches cover all shards again", func() bool {
		return owner.search(t.Context(), client).Outcome == yuccahinge.Complete
	})
}

func TestOneCutSearcherCostsNoShard(t *testing.T) {
	s := newSite(t, 3)
	links := s.linkSearchers()
	links[0].fault(t, map[string]any{"cut": "both"})
	eventually(t, "searches cover all shards", func() bool {
		return s.hosts[0].search(t.Context(), client).Outcome == yuccahinge.Complete
	})
	for range 20 {
		mustCover(t, s.hosts[0].search(t.Context(), client))
	}
}
