package scene

import (
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// gossipDelay is what a notice takes from host to host.
const gossipDelay = 50 * time.Millisecond

// network carries notices between the hosts of a run.
type network struct {
	mu    sync.Mutex
	posts map[yuccahinge.HostID]*post
	// cut is a domain that no notice leaves or reaches.
	cut yuccahinge.DomainID
}

// post is a host's end of the network.
type post struct {
	net    *network
	host   yuccahinge.HostID
	domain yuccahinge.DomainID
	mu     sync.Mutex
	heard  []func(yuccahinge.Notice)
}

// join replaces the host's former end, as a restart does.
func (n *network) join(host yuccahinge.HostID, domain yuccahinge.DomainID) *post {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.posts == nil {
		n.posts = map[yuccahinge.HostID]*post{}
	}
	p := &post{net: n, host: host, domain: domain}
	n.posts[host] = p
	return p
}

func (n *network) cutOff(domain yuccahinge.DomainID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = domain
}

// Tell implements yuccahinge.Gossip.
func (p *post) Tell(notice yuccahinge.Notice) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for _, other := range p.net.posts {
		if other != p && p.net.reaches(p.domain, other.domain) {
			time.AfterFunc(gossipDelay, func() { other.hear(notice) })
		}
	}
}

func (n *network) reaches(from, to yuccahinge.DomainID) bool {
	return from == to || n.cut == "" || (from != n.cut && to != n.cut)
}

// Subscribe implements yuccahinge.Gossip.
func (p *post) Subscribe(heard func(yuccahinge.Notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, heard)
}

func (p *post) hear(n yuccahinge.Notice) {
	p.mu.Lock()
	heard := p.heard
	p.mu.Unlock()
	for _, f := range heard {
		f(n)
	}
}
