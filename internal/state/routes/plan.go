package routes

import (
	"math"
	"strings"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// Plan is the routing of one ticket combined with the searchers that were listed when it was built. A request is
// served from one plan.
type Plan struct {
	Routing *yuccahinge.Routing
	// Indexes holds the distinct indexes of all routes.
	Indexes []*yuccahinge.Index
	// Entries holds the routes in the order of the routing.
	Entries []*Entry
	// MinObjectiveMs is the shortest positive objective of the scattered routes; zero if none has one.
	MinObjectiveMs yuccahinge.Millis

	byHost map[string][]*Entry // by normalized host name; the longest prefix first
	byKey  map[uint64]*yuccahinge.Index
	// shards is the set of services that scattered requests go to.
	shards map[yuccahinge.ServiceName]bool
}

// Entry is a route with the indexes that its requests go to.
type Entry struct {
	Route *yuccahinge.Route

	targets      []target
	requestCount *atomic.Uint64
}

// target is an index and its share of a route's requests.
type target struct {
	end   float64 // the upper bound of the index's subrange of the range from 0 to 1
	index *yuccahinge.Index
}

// Index returns the index whose ServicesHash is key, or nil.
func (p *Plan) Index(key uint64) *yuccahinge.Index { return p.byKey[key] }

// IsShard reports whether scattered requests go to a service.
func (p *Plan) IsShard(name yuccahinge.ServiceName) bool { return p.shards[name] }

// Match returns the entry with the longest prefix of the path, or nil. The host must be normalized by NormalizeHost.
func (p *Plan) Match(host, path string) *Entry {
	for _, e := range p.byHost[host] {
		if strings.HasPrefix(path, e.Route.Prefix) {
			return e
		}
	}
	return nil
}

// CountForwarded counts a request for a route that another host has received and this host runs. The count includes such
// requests because this host derives from it whether it can serve, and the other host relies on the result.
func (p *Plan) CountForwarded(name yuccahinge.RouteName) {
	for _, e := range p.Entries {
		if e.Route.Name == name {
			e.requestCount.Add(1)
			return
		}
	}
}

// Requests returns the number of requests of the route, over all plans.
func (e *Entry) Requests() uint64 { return e.requestCount.Load() }

// Indexes returns the indexes that the route's requests go to.
func (e *Entry) Indexes() []*yuccahinge.Index {
	out := make([]*yuccahinge.Index, 0, len(e.targets))
	for i := range e.targets {
		out = append(out, e.targets[i].index)
	}
	return out
}

// NextIndex adds one to the route's request counter and returns the index for the request. Weighted
// services get their share in any run of requests, because multiples of the golden ratio, taken modulo one, fill the
// range from 0 to 1 evenly.
func (e *Entry) NextIndex() *yuccahinge.Index {
	turn := e.requestCount.Add(1)
	if len(e.targets) == 1 {
		return e.targets[0].index
	}
	_, at := math.Modf(float64(turn%(1<<30)) * math.Phi)
	for i := range e.targets {
		if at < e.targets[i].end {
			return e.targets[i].index
		}
	}
	return e.targets[len(e.targets)-1].index
}
