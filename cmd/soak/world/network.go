package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/cmd/soak/sched"
)

// place is an end of the network.
type place struct {
	name   string
	domain yuccahinge.DomainID
	isHost bool
}

// The places that stand outside the failure domains.
var (
	platformPlace = place{name: "platform", domain: "platform"}
	callerPlace   = place{name: "caller", domain: "callers"}
)

// path classes messages by what may happen to them.
type path struct {
	loss, late, double float64
}

// The paths. A searcher or the platform never receives a message twice: their connections are TCP, and
// that net/http itself sends nothing again is proved elsewhere.
var (
	peerPath     = path{loss: 0.01, late: 0.01, double: 0.02}
	callerPath   = path{loss: 0.005, late: 0.01}
	platformPath = path{loss: 0.01, late: 0.01}
	queryPath    = path{loss: 0.005, late: 0.01}
	replyPath    = path{loss: 0.005, late: 0.03, double: 0.03}
)

const (
	// stormFactor is how much likelier faults of messages are in a storm.
	stormFactor = 6
	maxLate     = 3000
)

// network holds the cuts, each counted, since they may overlap.
type network struct {
	domains map[[2]yuccahinge.DomainID]int
	places  map[[2]string]int
	// lonely holds the places that are cut off from a domain, both ways.
	lonely map[lonely]int
	// hosts holds the hosts that are cut off from all hosts, by the end that they are of.
	hosts  map[[2]string]int
	storms int
}

func (n *network) cutDomains(from, to yuccahinge.DomainID, by int) {
	if n.domains == nil {
		n.domains = make(map[[2]yuccahinge.DomainID]int)
	}
	n.domains[[2]yuccahinge.DomainID{from, to}] += by
}

func (n *network) cutPlaces(from, to string, by int) {
	if n.places == nil {
		n.places = make(map[[2]string]int)
	}
	n.places[[2]string{from, to}] += by
}

type lonely struct {
	place  string
	domain yuccahinge.DomainID
}

// cutHost cuts what a host sends to other hosts, or what it receives from them. The other name is empty.
func (n *network) cutHost(from, to string, by int) {
	if n.hosts == nil {
		n.hosts = make(map[[2]string]int)
	}
	n.hosts[[2]string{from, to}] += by
}

func (n *network) cutPlaceFrom(name string, d yuccahinge.DomainID, by int) {
	if n.lonely == nil {
		n.lonely = make(map[lonely]int)
	}
	n.lonely[lonely{name, d}] += by
}

// cut reports whether nothing gets from one place to the other.
func (n *network) cut(from, to place) bool {
	if from.isHost && to.isHost && n.hosts[[2]string{from.name, ""}]+n.hosts[[2]string{"", to.name}] > 0 {
		return true
	}
	return n.domains[[2]yuccahinge.DomainID{from.domain, to.domain}] > 0 ||
		n.places[[2]string{from.name, to.name}] > 0 ||
		n.lonely[lonely{from.name, to.domain}] > 0 ||
		n.lonely[lonely{to.name, from.domain}] > 0
}

// send carries a message; deliver runs at its destination, perhaps late, never or twice.
func (w *World) send(r path, from, to place, owner sched.Owner, deliver func()) {
	w.sendOnce(r, from, to, owner, deliver)
	if w.chance(r.double * w.storm()) {
		w.sendOnce(r, from, to, owner, deliver)
	}
}

func (w *World) sendOnce(r path, from, to place, owner sched.Owner, deliver func()) {
	if w.net.cut(from, to) || w.chance(r.loss*w.storm()) {
		return
	}
	d := w.delay(from, to)
	if w.chance(r.late * w.storm()) {
		d += w.span(5, maxLate)
	}
	w.queue.At(w.now()+d, owner, func() {
		if !w.net.cut(from, to) {
			deliver()
		}
	})
}

func (w *World) storm() float64 {
	if w.net.storms > 0 {
		return stormFactor
	}
	return 1
}

func (w *World) delay(from, to place) yuccahinge.Millis {
	switch {
	case from.domain == to.domain:
		return w.span(0.1, 0.5)
	case from == callerPlace || to == callerPlace:
		return w.span(0.8, 3)
	}
	return w.span(0.8, 2)
}
