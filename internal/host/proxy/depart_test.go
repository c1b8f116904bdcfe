package proxy

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// TestNoListRevivesASearcherThatLeaves guards against requests to a searcher that has said that it leaves, or wants none for
// a time, after a list or a configuration that has it as ready; and against a new incarnation of it that gets none.
func TestNoListRevivesASearcherThatLeaves(t *testing.T) {
	srv := newProbingServer(new(fakeProber))
	srv.parts.balancer.IsDraining = srv.parts.departures.IsDraining
	now := srv.clock.Now()
	report := &yuccahinge.LoadReport{Incarnation: "a1/1", Draining: true}
	srv.parts.engine.RecordReport(now, "a1/1", report)
	srv.parts.holds.Observe(now, "a2/1", &yuccahinge.LoadReport{Incarnation: "a2/1", HoldMs: 60_000})
	list := func(ids ...yuccahinge.SearcherID) {
		var out []*yuccahinge.Registration
		for _, id := range ids {
			out = append(out, &yuccahinge.Registration{ID: id, Service: "a", Slots: 1})
		}
		srv.setSearchers(map[yuccahinge.ServiceName][]*yuccahinge.Registration{"a": out})
	}
	pick := func() yuccahinge.SearcherID {
		ix := srv.Plan().Indexes[0]
		id, _ := srv.parts.balancer.Pick(srv.clock.Now(), ix, &ix.Shards[0], nil)
		return id
	}
	list("a1/1", "a2/1")
	if id := pick(); id != "" || srv.MaySend("a1/1") || srv.MaySend("a2/1") {
		t.Errorf("picked %q from the list that still has them", id)
	}
	list()
	list("a1/1", "a2/1")
	routing := *srv.Plan().Routing
	routing.Ticket++
	srv.parts.routeTable.SetRouting(&routing)
	if id := pick(); id != "" {
		t.Errorf("picked %q after a list without them and another configuration", id)
	}
	srv.parts.holds.Observe(now, "a1/2", &yuccahinge.LoadReport{Incarnation: "a1/2", HoldMs: 1})
	time.Sleep(5 * time.Millisecond)
	srv.pruneSearchers()
	if n := srv.parts.holds.Len(); n != 1 {
		t.Errorf("%d holds are kept, want the one that has not ended", n)
	}
	list("a1/2", "a2/1")
	if id := pick(); id != "a1/2" {
		t.Errorf("picked %q, want the new incarnation", id)
	}
}

// TestChoiceFromAnEarlierListIsChecked guards against requests, retries and hedges to a searcher that was chosen, or is chosen, from a
// list in which it was still ready.
func TestChoiceFromAnEarlierListIsChecked(t *testing.T) {
	srv := newProbingServer(new(fakeProber))
	srv.wireDepartures()
	list := func(registrations ...*yuccahinge.Registration) *yuccahinge.Index {
		srv.setSearchers(map[yuccahinge.ServiceName][]*yuccahinge.Registration{"a": registrations})
		return srv.Plan().Indexes[0]
	}
	a1, a2 := &yuccahinge.Registration{ID: "a1/1", Service: "a", Slots: 1}, &yuccahinge.Registration{ID: "a2/1", Service: "a", Slots: 1}
	earlier := list(a1, a2)
	picks := func() string {
		found := ""
		for _, id := range []yuccahinge.SearcherID{"a1/1", "a2/1"} {
			tried := []yuccahinge.SearcherID{"a1/1", "a2/1"}
			tried = slices.DeleteFunc(tried, func(other yuccahinge.SearcherID) bool { return other == id })
			if _, ok := srv.parts.balancer.Pick(srv.clock.Now(), earlier, &earlier.Shards[0], tried); ok && srv.MaySend(id) {
				found += string(id) + " "
			}
		}
		return found
	}
	if got := picks(); got != "a1/1 a2/1 " {
		t.Errorf("searchers that may be called: %q, want both", got)
	}
	draining := *a1
	draining.Draining = true
	list(&draining, a2)
	if got := picks(); got != "a2/1 " {
		t.Errorf("searchers that may be called while a1 is listed as draining: %q", got)
	}
	list(a1)
	if got := picks(); got != "a1/1 " {
		t.Errorf("searchers that may be called after a2 was removed and a1 was listed again: %q", got)
	}
	list()
	if got := picks(); got != "" {
		t.Errorf("searchers that may be called when none is listed: %q", got)
	}
}
