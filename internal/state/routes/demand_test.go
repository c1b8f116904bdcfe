package routes

import (
	"math"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestDemandFollowsTheRequests(t *testing.T) {
	var table Table
	table.SetRouting(routing(1, route("busy", "/b/", yuccahinge.WeightedService{Service: "a", Weight: 1}), route("idle", "/i/", yuccahinge.WeightedService{Service: "b", Weight: 1})))
	table.SetSearchers(registrations("x"))
	var d Demand
	share := func(name yuccahinge.RouteName) float64 {
		return d.Mean(table.Plan().Entries, func(e *Entry) float64 {
			if e.Route.Name == name {
				return 1
			}
			return 0
		})
	}
	if got := share("idle"); got != 0.5 {
		t.Fatalf("without requests one of two routes has share %g, want 0.5", got)
	}
	for range 9 {
		table.Plan().Match("h.example", "/b/x").NextIndex()
	}
	table.Plan().Match("h.example", "/i/x").NextIndex()
	d.Observe(1000, table.Plan().Entries)
	if got := share("busy"); math.Abs(got-0.9) > 0.01 {
		t.Fatalf("the busy route has share %g of the requests, want 0.9", got)
	}
	for range 10 {
		table.Plan().Match("h.example", "/i/x").NextIndex()
	}
	d.Observe(1000+4*demandHalfMs, table.Plan().Entries)
	if got := share("busy"); got > 0.1 {
		t.Fatalf("a route that was busy four half-lives ago has share %g of the requests, want at most 0.1", got)
	}
}

// TestRequestsOfOtherHostsCountAsDemand has a host run scattered requests for other hosts while its own callers
// request lookups.
func TestRequestsOfOtherHostsCountAsDemand(t *testing.T) {
	var table Table
	table.SetRouting(routing(1, &yuccahinge.Route{Name: "wide", Host: "h.example", Prefix: "/w/", Shards: []yuccahinge.ServiceName{"a", "b"}},
		route("lookup", "/l/", yuccahinge.WeightedService{Service: "a", Weight: 1})))
	table.SetSearchers(registrations("x"))
	var d Demand
	table.Plan().Match("h.example", "/l/x").NextIndex()
	for range 9 {
		table.Plan().CountForwarded("wide")
	}
	d.Observe(1000, table.Plan().Entries)
	got := d.Mean(table.Plan().Entries, func(e *Entry) float64 {
		if e.Route.IsScattered() {
			return 0
		}
		return 1
	})
	if got > 0.2 {
		t.Fatalf("lookups have share %g of the requests, want at most 0.2", got)
	}
}
