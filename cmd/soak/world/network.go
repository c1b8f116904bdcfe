package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/cmd/soak/sched"
)

// endpoint is a sender or receiver on the network.
type endpoint struct {
	name   string
	domain yuccahinge.DomainID
	isHost bool
}

// The endpoints outside the failure domains.
var (
	platformEndpoint = endpoint{name: "platform", domain: "platform"}
	callerEndpoint   = endpoint{name: "caller", domain: "callers"}
)

// path is a class of messages with the probabilities of their faults.
type path struct {
	loss, delay, duplicate float64
}

// The paths. A searcher or the platform never receives a message twice: their connections are TCP, and other tests
// check that net/http doesn't resend a request by itself.
var (
	peerPath     = path{loss: 0.01, delay: 0.01, duplicate: 0.02}
	callerPath   = path{loss: 0.005, delay: 0.01}
	platformPath = path{loss: 0.01, delay: 0.01}
	queryPath    = path{loss: 0.005, delay: 0.01}
	replyPath    = path{loss: 0.005, delay: 0.03, duplicate: 0.03}
)

const (
	// degradedFactor multiplies the probabilities of message faults while the network is degraded.
	degradedFactor  = 6
	maxExtraDelayMs = 3000
)

// network counts the current cuts, which block messages between endpoints, as cuts may overlap.
type network struct {
	domainCuts   map[[2]yuccahinge.DomainID]int
	endpointCuts map[[2]string]int
	// isolations holds the endpoints that are cut off from a domain, both ways.
	isolations map[isolation]int
	// hostCuts holds cuts between a host and all other hosts, by sender and receiver, of which one is empty.
	hostCuts     map[[2]string]int
	degradations int
}

func (n *network) cutDomains(from, to yuccahinge.DomainID, delta int) {
	if n.domainCuts == nil {
		n.domainCuts = make(map[[2]yuccahinge.DomainID]int)
	}
	n.domainCuts[[2]yuccahinge.DomainID{from, to}] += delta
}

func (n *network) cutEndpoints(from, to string, delta int) {
	if n.endpointCuts == nil {
		n.endpointCuts = make(map[[2]string]int)
	}
	n.endpointCuts[[2]string{from, to}] += delta
}

type isolation struct {
	endpoint string
	domain   yuccahinge.DomainID
}

// cutHost cuts what a host sends to other hosts (to is empty) or what it receives from them (from is empty).
func (n *network) cutHost(from, to string, delta int) {
	if n.hostCuts == nil {
		n.hostCuts = make(map[[2]string]int)
	}
	n.hostCuts[[2]string{from, to}] += delta
}

func (n *network) cutEndpointFromDomain(name string, d yuccahinge.DomainID, delta int) {
	if n.isolations == nil {
		n.isolations = make(map[isolation]int)
	}
	n.isolations[isolation{name, d}] += delta
}

// isCut reports whether a cut blocks messages from one endpoint to another.
func (n *network) isCut(from, to endpoint) bool {
	if from.isHost && to.isHost && n.hostCuts[[2]string{from.name, ""}]+n.hostCuts[[2]string{"", to.name}] > 0 {
		return true
	}
	return n.domainCuts[[2]yuccahinge.DomainID{from.domain, to.domain}] > 0 ||
		n.endpointCuts[[2]string{from.name, to.name}] > 0 ||
		n.isolations[isolation{from.name, to.domain}] > 0 ||
		n.isolations[isolation{to.name, from.domain}] > 0
}

// send sends a message. The function deliver runs when the message arrives: perhaps late, never or twice.
func (w *World) send(p path, from, to endpoint, owner sched.Owner, deliver func()) {
	w.sendOnce(p, from, to, owner, deliver)
	if w.chance(p.duplicate * w.faultFactor()) {
		w.sendOnce(p, from, to, owner, deliver)
	}
}

func (w *World) sendOnce(p path, from, to endpoint, owner sched.Owner, deliver func()) {
	if w.net.isCut(from, to) || w.chance(p.loss*w.faultFactor()) {
		return
	}
	d := w.delay(from, to)
	if w.chance(p.delay * w.faultFactor()) {
		d += w.uniform(5, maxExtraDelayMs)
	}
	w.queue.At(w.now()+d, owner, func() {
		if !w.net.isCut(from, to) {
			deliver()
		}
	})
}

func (w *World) faultFactor() float64 {
	if w.net.degradations > 0 {
		return degradedFactor
	}
	return 1
}

func (w *World) delay(from, to endpoint) yuccahinge.Millis {
	switch {
	case from.domain == to.domain:
		return w.uniform(0.1, 0.5)
	case from == callerEndpoint || to == callerEndpoint:
		return w.uniform(0.8, 3)
	}
	return w.uniform(0.8, 2)
}
