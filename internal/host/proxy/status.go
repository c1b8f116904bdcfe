package proxy

import (
	"strings"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// observe updates the metrics for an event and passes it to the log.
func (srv *Server) observe(e yuccahinge.Event) {
	srv.meter.CountEvent(e)
	if e.Code == event.SearchAnswered || e.Code == event.SearchRefused {
		srv.meter.RecordForward(e.Service, outcomeOf(&e), e.TookMs)
	}
	srv.logs.Enqueue(e)
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

func (srv *Server) status() yuccahinge.HostStatus {
	ok, why := srv.ready()
	st := yuccahinge.HostStatus{
		Host:        srv.Settings.Host,
		Domain:      srv.self.Domain,
		Incarnation: srv.self.Incarnation,
		Version:     srv.Version,
		Ready:       ok,
		Reason:      why,
		UptimeMs:    srv.clock.Now() - srv.started,
		InFlight:    int(srv.inFlight.count.Load()),
		Members:     srv.parts.syncer.Roster().Members(),
		Evacuated:   srv.parts.evacuations.Domains(),
		Searchers:   srv.parts.capacity.Deviations(srv.clock.Now()),
	}
	if state, age := srv.parts.syncer.State(); state != nil {
		st.Ticket = state.Ticket
		st.Digest = state.Digest
		st.StateAgeMs = age
	}
	return st
}

func (srv *Server) confirmation(number yuccahinge.TicketNumber) yuccahinge.Confirmation {
	head, digest, inForce := srv.parts.syncer.DigestAt(number)
	return yuccahinge.Confirmation{
		Host:     srv.Settings.Host,
		Domain:   srv.self.Domain,
		Number:   number,
		InForce:  inForce,
		Head:     head,
		Digest:   digest,
		Conflict: srv.parts.syncer.HasConflict(),
	}
}

// registerGauges registers the metrics that are read from the components of the host.
func (srv *Server) registerGauges() error {
	for _, v := range []struct {
		name, description string
		read              func() float64
	}{
		{"yuccahinge.ticket", "Number of the ticket in force.", func() float64 { return float64(srv.status().Ticket) }},
		{"yuccahinge.state.age", "Time since the state was known to be the newest, in ms.", func() float64 { return float64(srv.status().StateAgeMs) }},
		{"yuccahinge.requests", "Requests in flight.", func() float64 { return float64(srv.inFlight.count.Load()) }},
		{"yuccahinge.members", "Entry hosts that are counted.", func() float64 { return float64(srv.parts.share.Hosts()) }},
		{"yuccahinge.domains.cut", "Failure domains that are cut off from this host.", func() float64 { return float64(len(srv.parts.balancer.CutDomains(srv.clock.Now()))) }},
		{"yuccahinge.domains.evacuated", "Failure domains whose searchers get no requests because the operator has asked for it.", func() float64 { return float64(len(srv.parts.evacuations.Domains())) }},
		{"yuccahinge.searchers.limited", "Searchers that name a maximum request rate.", func() float64 { return float64(srv.parts.limits.Named()) }},
		{"yuccahinge.searchers.cold", "Searchers that are cold, or count as cold since they are newly listed.", func() float64 { return float64(srv.parts.warmups.Cold()) }},
		{"yuccahinge.searchers.draining", "Searchers that have said that they leave, until they have not been listed for a while.", func() float64 { return float64(srv.parts.departures.Draining()) }},
		{"yuccahinge.quarantined", "Requests that are refused because they crash searchers.", func() float64 { return float64(srv.parts.crashes.Confirmed()) }},
		{"yuccahinge.searchers.held", "Searchers that want no requests from this host for a time, or did until lately.", func() float64 { return float64(srv.parts.holds.Len()) }},
		{"yuccahinge.searchers.rejecting", "Searchers that have rejected a request although they had free slots, until lately.", func() float64 { return float64(srv.parts.troubles.Len()) }},
		{"yuccahinge.searchers.slow", "Searchers that take much longer than their peers although they are not full.", func() float64 { return srv.countInCondition(yuccahinge.SearcherSlow) }},
		{"yuccahinge.searchers.full", "Searchers that have more calls than they handle well.", func() float64 { return srv.countInCondition(yuccahinge.SearcherFull) }},
		{"yuccahinge.searchers.trouble", "Searchers that refuse calls although they have free slots, or send invalid answers.", func() float64 { return srv.countInCondition(yuccahinge.SearcherTrouble) }},
		{"yuccahinge.admitted.share", "Share of the requests that may start, over the index with the smallest.", func() float64 { return srv.parts.admit.MinShare(srv.clock.Now()) }},
		{"yuccahinge.admitted.urgent", "Share of the most urgent requests that may start, over the index with the smallest.", func() float64 { return srv.parts.admit.MinUrgentShare(srv.clock.Now()) }},
		{"yuccahinge.replies.given.up", "Replies of searchers that were given up, since those in progress took too much memory together.", func() float64 { return float64(srv.parts.conns.RepliesGivenUp()) }},
		{"yuccahinge.log.dropped", "Lines of the log that were left out.", func() float64 { return float64(srv.logs.Dropped()) }},
	} {
		if err := srv.meter.Gauge(v.name, v.description, v.read); err != nil {
			return err
		}
	}
	return srv.parts.caps.RegisterGauges(srv.meter.Gauge)
}
