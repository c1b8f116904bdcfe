package proof

import (
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
