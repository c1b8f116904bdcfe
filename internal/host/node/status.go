package node

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/drain"
)

// ready reports whether the balancer may send requests here.
func (n *Node) ready() (bool, string) {
	if phase := n.drainState.current(); phase != drain.Serving {
		return false, "leaving: " + string(phase)
	}
	return n.parts.syncer.Ready()
}

func (n *Node) status() yuccahinge.HostStatus {
	ok, why := n.ready()
	st := yuccahinge.HostStatus{
		Host:        n.Settings.Host,
		Domain:      n.self.Domain,
		Incarnation: n.self.Incarnation,
		Version:     n.Version,
		Ready:       ok,
		Reason:      why,
		Phase:       string(n.drainState.current()),
		UptimeMs:    n.clock.Now() - n.started,
		InFlight:    n.parts.entry.InFlight(),
		Charges:     n.parts.charges.InFlight(),
		Members:     n.parts.syncer.Roster().Members(),
	}
	state, age := n.parts.syncer.State()
	if state != nil {
		st.Ticket = state.Ticket
		st.Digest = state.Digest
		st.StateAgeMs = age
		st.Evacuated = state.Evacuated
	}
	return st
}

func (n *Node) confirmation(number yuccahinge.TicketNumber) yuccahinge.Confirmation {
	head, digest, inForce := n.parts.syncer.DigestAt(number)
	c := yuccahinge.Confirmation{
		Host:     n.Settings.Host,
		Domain:   n.self.Domain,
		Number:   number,
		InForce:  inForce,
		Head:     head,
		Digest:   digest,
		Conflict: n.parts.syncer.HasConflict(),
	}
	if state, _ := n.parts.syncer.State(); state != nil && state.Ticket == head {
		c.HeadDigest = state.Digest
	}
	return c
}

// registerGauges registers the metrics that are read from the components of the host.
func (n *Node) registerGauges() error {
	for _, g := range []struct {
		name, description string
		read              func() float64
	}{
		{"yuccahinge.ticket", "Number of the ticket in force.", func() float64 { return float64(n.status().Ticket) }},
		{"yuccahinge.state.age", "Time since the state was known to be the newest, in ms.", func() float64 { return float64(n.status().StateAgeMs) }},
		{"yuccahinge.requests", "Requests in flight.", func() float64 { return float64(n.parts.entry.InFlight()) }},
		{"yuccahinge.charges", "Charges that run under claims of this host.", func() float64 { return float64(n.parts.charges.InFlight()) }},
		{"yuccahinge.members", "Entry hosts that are not dead.", func() float64 { return float64(len(n.parts.syncer.Roster().Members())) }},
	} {
		if err := n.meter.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return n.parts.caps.RegisterGauges(n.meter.Gauge)
}
