package routes

import (
	"math"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func routing(n yuccahinge.TicketNumber, routes ...*yuccahinge.Route) *yuccahinge.Routing {
	return &yuccahinge.Routing{Ticket: n, Routes: routes, Services: map[yuccahinge.ServiceName]yuccahinge.ServiceSettings{"a": {Connections: 26}}}
}

func route(name, prefix string, services ...yuccahinge.WeightedService) *yuccahinge.Route {
	return &yuccahinge.Route{Name: yuccahinge.RouteName(name), Host: "H.example", Prefix: prefix, Weighted: services}
}

func registrations(ids ...string) map[yuccahinge.ServiceName][]*yuccahinge.Registration {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	for _, id := range ids {
		out["a"] = append(out["a"], &yuccahinge.Registration{ID: yuccahinge.SearcherID(id), Service: "a", Draining: id == "leaving"})
	}
	return out
}

func TestLongestPrefixWins(t *testing.T) {
	var table Table
	table.SetSearchers(registrations("x"))
	if table.Plan() != nil {
		t.Fatal("there is a plan without a routing")
	}
	table.SetRouting(routing(1, route("short", "/p/"), route("long", "/p/q/")))
	for path, want := range map[string]yuccahinge.RouteName{"/p/x": "short", "/p/q/x": "long"} {
		if e := table.Plan().Match(NormalizeHost("h.example:80"), path); e == nil || e.Route.Name != want {
			t.Errorf("path %s matches entry %+v", path, e)
		}
	}
	if table.Plan().Match("other", "/p/") != nil || table.Plan().Match("h.example", "/") != nil {
		t.Error("a request with another host or path matches a route")
	}
}

func TestOlderRoutingIsIgnored(t *testing.T) {
	var table Table
	table.SetSearchers(registrations("x"))
	table.SetRouting(routing(7))
	table.SetRouting(routing(3))
	if n := table.Plan().Routing.Ticket; n != 7 {
		t.Fatalf("ticket %d is in force, want 7", n)
	}
}

func TestDrainingSearchersGetNoRequests(t *testing.T) {
	var table Table
	table.SetRouting(routing(1, route("r", "/", yuccahinge.WeightedService{Service: "a", Weight: 1})))
	table.SetSearchers(registrations("x", "leaving"))
	ix := table.Plan().Match("h.example", "/").NextIndex()
	if got := ix.Shards[0].Searchers; len(got) != 1 || got[0] != "x" || ix.Searchers["x"].Connections != 26 {
		t.Fatalf("index is %+v, want only searcher x with 26 connections", ix)
	}
}

func TestWeightsHoldInShortRuns(t *testing.T) {
	var table Table
	table.SetRouting(routing(1, route("r", "/", yuccahinge.WeightedService{Service: "a", Weight: 7}, yuccahinge.WeightedService{Service: "b", Weight: 3})))
	table.SetSearchers(registrations("x"))
	e := table.Plan().Match("h.example", "/")
	for range 20 {
		n := 0
		for range 50 {
			if e.NextIndex().Shards[0].Service == "a" {
				n++
			}
		}
		if math.Abs(float64(n)/50-0.7) > 0.05 {
			t.Fatalf("%d of 50 requests went to the service with a share of 0.7", n)
		}
	}
}

func TestShortestObjectiveOfScatteredRoutes(t *testing.T) {
	var table Table
	table.SetSearchers(registrations("x"))
	lookup := route("lookup", "/l/", yuccahinge.WeightedService{Service: "a", Weight: 1})
	lookup.ObjectiveMs = 5
	table.SetRouting(routing(1, lookup))
	if ms := table.Plan().MinObjectiveMs; ms != 0 {
		t.Errorf("shortest objective is %g ms without a scattered route, want 0", ms)
	}
	var wide []*yuccahinge.Route
	for _, ms := range []yuccahinge.Millis{80, 0, 40, 60} {
		r := route("wide", "/w/")
		r.Shards = []yuccahinge.ServiceName{"a"}
		r.ObjectiveMs = ms
		wide = append(wide, r)
	}
	table.SetRouting(routing(2, append(wide, lookup)...))
	if ms := table.Plan().MinObjectiveMs; ms != 40 {
		t.Errorf("shortest objective is %g ms, want 40", ms)
	}
}
