package proxy

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/host/rates"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
	"github.com/yuccahinge/yuccahinge/ration"
)

// wireLimits sets up the division of searchers' maximum request rates among the hosts.
func (srv *Server) wireLimits() {
	l := &srv.parts.limits
	l.Self = yuccahinge.HostID(srv.self.ID)
	l.IsShard = func(name yuccahinge.ServiceName) bool {
		plan := srv.Plan()
		return plan != nil && plan.IsShard(name)
	}
	r := rates.Rates{Limiter: l, Gossip: &srv.parts.syncer, Recorder: &srv.events, Stamps: &srv.stamps, Clock: srv.clock}
	r.Wire()
}

// countAttempt counts a call that is being sent to a searcher.
func (srv *Server) countAttempt(cause gather.Cause, id yuccahinge.SearcherID) {
	srv.meter.CountAttempt(meter.Attempt{Cause: string(cause), Limited: srv.parts.limits.CountCall(id, string(cause))})
}

// limitHosts returns the hosts that divide the maximum request rates of the searchers.
func (srv *Server) limitHosts(members []yuccahinge.Member) []ration.Host {
	out := make([]ration.Host, len(members))
	for i, strong := range srv.parts.selector.Strong(members) {
		out[i] = ration.Host{ID: yuccahinge.HostID(members[i].ID), Domain: members[i].Domain, Strong: strong}
	}
	return out
}
