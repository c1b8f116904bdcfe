package proxy

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
)

// wireDepartures sets up what this host knows about searchers that leave. What one host learns from a response, the others
// learn as well: one of them may run parts of requests for this host.
func (srv *Server) wireDepartures() {
	p := &srv.parts
	p.engine.Departures = &p.departures
	p.balancer.IsDraining = func(id yuccahinge.SearcherID) bool { return p.departures.IsDraining(id) || p.stale.Contains(id) }
	p.balancer.MayCallDraining = srv.mayCallDraining
}

// mayCallDraining reports whether a searcher that leaves is certain to serve still. That is not known of one that the platform lists as
// leaving: the list tells of it late.
func (srv *Server) mayCallDraining(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	since, ok := srv.parts.departures.Since(id)
	return ok && !srv.parts.stale.Contains(id) && now < since+srv.current.Load().Forward.SearcherDrainMs
}

// MaySend reports whether a request may be sent to a searcher that was chosen for it before, perhaps from an earlier list, and counts it
// towards the searcher's warm-up rate if so.
func (srv *Server) MaySend(id yuccahinge.SearcherID) bool {
	return srv.mayCall(id) && (srv.parts.warmups.Cold() == 0 || srv.parts.limits.MaySend(srv.clock.Now(), id))
}

// mayCall reports whether a searcher from a list, perhaps an earlier one, may still be called.
func (srv *Server) mayCall(id yuccahinge.SearcherID) bool {
	p := &srv.parts
	if p.syncer.Evacuations != nil {
		// Returns at once unless the process was paused: then it waits until some peers have been asked.
		p.syncer.Refresh(context.Background())
	}
	if p.stale.Contains(id) {
		return false
	}
	if p.departures.Draining() == 0 && p.holds.Len() == 0 {
		return true
	}
	now := srv.clock.Now()
	return p.holds.HeldFor(now, id) == 0 && (!p.departures.IsDraining(id) || srv.mayCallDraining(now, id))
}

// setSearchers applies a new list of searchers.
func (srv *Server) setSearchers(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	srv.applied.mu.Lock()
	srv.applied.services = services
	srv.applied.mu.Unlock()
	srv.applySearchers()
	// An evacuated searcher has not ended, so that this is told by the list as it is.
	srv.parts.engine.RecordEnds(srv.parts.ended.Update(services)...)
	listed := make(map[yuccahinge.SearcherID]bool)
	for _, all := range services {
		for _, r := range all {
			listed[r.ID] = true
		}
	}
	srv.listed.Store(&listed)
	srv.pruneSearchers()
}

// pruneSearchers forgets holds and troubles that have ended, and searchers that were listed long ago.
func (srv *Server) pruneSearchers() {
	listed := srv.listed.Load()
	if listed == nil {
		return
	}
	isListed := func(id yuccahinge.SearcherID) bool { return (*listed)[id] }
	now := srv.clock.Now()
	srv.parts.departures.Prune(now, isListed)
	srv.parts.holds.Prune(now, isListed)
	srv.parts.warmups.Prune(now)
	srv.parts.troubles.Prune(now)
	srv.parts.capacity.Prune(isListed)
}
