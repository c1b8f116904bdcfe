package suite

import (
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// gossipDelay is the delay of a notice from host to host.
const gossipDelay = 50 * time.Millisecond

// network carries notices between the hosts of a run.
type network struct {
	mu        sync.Mutex
	endpoints map[yuccahinge.HostID]*endpoint
	// partitioned is a domain that notices neither leave nor enter; empty for none.
	partitioned yuccahinge.DomainID
}

// endpoint is the yuccahinge.Gossip of one host: it sends the host's notices and delivers those of others.
type endpoint struct {
	net      *network
	host     yuccahinge.HostID
	domain   yuccahinge.DomainID
	mu       sync.Mutex
	handlers []func(yuccahinge.Notice)
}

// join returns a new endpoint for the host. It replaces an earlier endpoint of the same host, as after a restart.
func (n *network) join(host yuccahinge.HostID, domain yuccahinge.DomainID) *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endpoints == nil {
		n.endpoints = map[yuccahinge.HostID]*endpoint{}
	}
	e := &endpoint{net: n, host: host, domain: domain}
	n.endpoints[host] = e
	return e
}

// partition stops notices between the domain and the others. An empty name ends a partition.
func (n *network) partition(domain yuccahinge.DomainID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = domain
}

// Broadcast implements yuccahinge.Gossip.
func (e *endpoint) Broadcast(notice yuccahinge.Notice) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	for _, other := range e.net.endpoints {
		if other != e && e.net.reaches(e.domain, other.domain) {
			time.AfterFunc(gossipDelay, func() { other.deliver(notice) })
		}
	}
}

func (n *network) reaches(from, to yuccahinge.DomainID) bool {
	return from == to || n.partitioned == "" || (from != n.partitioned && to != n.partitioned)
}

// Subscribe implements yuccahinge.Gossip.
func (e *endpoint) Subscribe(handler func(yuccahinge.Notice)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers = append(e.handlers, handler)
}

func (e *endpoint) deliver(n yuccahinge.Notice) {
	e.mu.Lock()
	handlers := e.handlers
	e.mu.Unlock()
	for _, handle := range handlers {
		handle(n)
	}
}
