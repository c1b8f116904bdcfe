// Package routes combines the routing in force and the listed searchers into an immutable plan for serving requests.
package routes

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// Table holds the plan that requests are served from. The zero value is ready to use. Its methods are safe for
// concurrent use, and Plan takes no lock.
type Table struct {
	mu            sync.Mutex
	routing       *yuccahinge.Routing
	services      map[yuccahinge.ServiceName][]*yuccahinge.Registration
	requestCounts map[yuccahinge.RouteName]*atomic.Uint64
	plan          atomic.Pointer[Plan]
}

// Plan returns the newest plan of routes and searchers, or nil while the routing or the searchers are unknown.
func (t *Table) Plan() *Plan { return t.plan.Load() }

// SetRouting puts a routing in force. It ignores one whose ticket number is not higher than that of the routing in force.
func (t *Table) SetRouting(r *yuccahinge.Routing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r == nil || t.routing != nil && r.Ticket <= t.routing.Ticket {
		return
	}
	t.routing = r
	t.publish()
}

// SetSearchers replaces the searchers of each service and rebuilds the plan.
func (t *Table) SetSearchers(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = services
	t.publish()
}

func (t *Table) publish() {
	if t.routing == nil || t.services == nil {
		return
	}
	b := indexBuilder{routing: t.routing, services: t.services, indexes: make(map[string]*yuccahinge.Index)}
	p := &Plan{Routing: t.routing, byHost: make(map[string][]*Entry), byKey: make(map[uint64]*yuccahinge.Index), shards: make(map[yuccahinge.ServiceName]bool)}
	for _, r := range t.routing.Routes {
		host := NormalizeHost(r.Host)
		e := b.entry(r, t.requestCount(r.Name))
		if r.IsScattered() && r.ObjectiveMs > 0 && (p.MinObjectiveMs == 0 || r.ObjectiveMs < p.MinObjectiveMs) {
			p.MinObjectiveMs = r.ObjectiveMs
		}
		for _, name := range r.Shards {
			p.shards[name] = true
		}
		p.Entries = append(p.Entries, e)
		p.byHost[host] = append(p.byHost[host], e)
	}
	for _, entries := range p.byHost {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.Route.Prefix) - len(a.Route.Prefix) })
	}
	for _, ix := range b.indexes {
		p.Indexes = append(p.Indexes, ix)
		p.byKey[ix.ServicesHash] = ix
	}
	t.plan.Store(p)
}

// requestCount returns the request counter of a route. All plans share it.
func (t *Table) requestCount(name yuccahinge.RouteName) *atomic.Uint64 {
	if t.requestCounts == nil {
		t.requestCounts = make(map[yuccahinge.RouteName]*atomic.Uint64)
	}
	if t.requestCounts[name] == nil {
		t.requestCounts[name] = new(atomic.Uint64)
	}
	return t.requestCounts[name]
}

// NormalizeHost normalizes a host name for comparison: without its port, in lower case.
func NormalizeHost(name string) string {
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	return strings.ToLower(name)
}
