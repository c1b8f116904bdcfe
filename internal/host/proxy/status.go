package proxy

import (
	"strings"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// observe updates the metrics for an event and passes it to the log.
func (g *Server) observe(e yuccahinge.Event) {
	g.meter.CountEvent(e)
	if e.Code == event.SearchAnswered || e.Code == event.SearchRefused {
		g.meter.RecordForward(e.Service, outcomeOf(&e), e.TookMs)
	}
	g.logs.Enqueue(e)
}

// outcomeOf returns the outcome label of a finished request for the metrics. For an answered request it is the first word
// of the event's detail, or complete without one.
func outcomeOf(e *yuccahinge.Event) string {
	switch {
	case e.Code == event.SearchRefused:
		return "unanswered"
	case e.Detail == "":
		return string(yuccahinge.Complete)
	}
	word, _, _ := strings.Cut(e.Detail, " ")
	return strings.TrimRight(word, ",;")
}

func (g *Server) status() yuccahinge.HostStatus {
	ok, why := g.ready()
	st := yuccahinge.HostStatus{
		Host:        g.Settings.Host,
		Domain:      g.self.Domain,
		Incarnation: g.self.Incarnation,
		Version:     g.Version,
		Ready:       ok,
		Reason:      why,
		UptimeMs:    g.clock.Now() - g.started,
		InFlight:    int(g.inFlight.count.Load()),
		Members:     g.parts.keeper.Roster().Members(),
	}
	if state, age := g.parts.keeper.State(); state != nil {
		st.Ticket = state.Ticket
		st.Digest = state.Digest
		st.StateAgeMs = age
	}
	return st
}

func (g *Server) confirm(number yuccahinge.TicketNumber) yuccahinge.Confirmation {
	head, digest, inForce := g.parts.keeper.DigestAt(number)
	return yuccahinge.Confirmation{
		Host:     g.Settings.Host,
		Domain:   g.self.Domain,
		Number:   number,
		InForce:  inForce,
		Head:     head,
		Digest:   digest,
		Conflict: g.parts.keeper.Conflicted(),
	}
}

// registerGauges registers the metrics that are read from the parts.
func (g *Server) registerGauges() error {
	for _, v := range []struct {
		name, description string
		read              func() float64
	}{
		{"yuccahinge.ticket", "Number of the ticket in force.", func() float64 { return float64(g.status().Ticket) }},
		{"yuccahinge.state.age", "Time since the state was known to be the newest, in ms.", func() float64 { return float64(g.status().StateAgeMs) }},
		{"yuccahinge.requests", "Requests in flight.", func() float64 { return float64(g.inFlight.count.Load()) }},
		{"yuccahinge.members", "Entry hosts that are counted.", func() float64 { return float64(g.parts.share.Hosts()) }},
		{"yuccahinge.domains.cut", "Failure domains that are cut off from this host.", func() float64 { return float64(len(g.parts.route.CutDomains(g.clock.Now()))) }},
		{"yuccahinge.admitted.share", "Share of the requests that may start, over the index with the smallest.", func() float64 { return g.parts.admit.MinShare(g.clock.Now()) }},
		{"yuccahinge.log.dropped", "Lines of the log that were left out.", func() float64 { return float64(g.logs.Dropped()) }},
	} {
		if err := g.meter.Gauge(v.name, v.description, v.read); err != nil {
			return err
		}
	}
	return nil
}
