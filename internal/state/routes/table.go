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

// Plan returns the plan in force, or nil while the routing or the searchers are unknown.
func (c *Table) Plan() *Plan { return c.plan.Load() }

// SetRouting puts a routing in force. It ignores one whose ticket number is not higher than that of the routing in force.
func (c *Table) SetRouting(r *yuccahinge.Routing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == nil || c.routing != nil && r.Ticket <= c.routing.Ticket {
		return
	}
	c.routing = r
	c.publish()
}

// SetSearchers replaces the searchers of each service and rebuilds the plan.
func (c *Table) SetSearchers(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = services
	c.publish()
}

func (c *Table) publish() {
	if c.routing == nil || c.services == nil {
		return
	}
	b := indexBuilder{routing: c.routing, services: c.services, indexes: make(map[string]*yuccahinge.Index)}
	p := &Plan{Routing: c.routing, byHost: make(map[string][]*Entry), byKey: make(map[uint64]*yuccahinge.Index), shards: make(map[yuccahinge.ServiceName]bool)}
	for _, r := range c.routing.Routes {
		host := NormalizeHost(r.Host)
		e := b.entry(r, c.requestCount(r.Name))
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
	c.plan.Store(p)
}

// requestCount returns the request counter of a route. All plans share it.
func (c *Table) requestCount(name yuccahinge.RouteName) *atomic.Uint64 {
	if c.requestCounts == nil {
		c.requestCounts = make(map[yuccahinge.RouteName]*atomic.Uint64)
	}
	if c.requestCounts[name] == nil {
		c.requestCounts[name] = new(atomic.Uint64)
	}
	return c.requestCounts[name]
}

// NormalizeHost normalizes a host name for comparison: without its port, in lower case.
func NormalizeHost(name string) string {
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	return strings.ToLower(name)
}
