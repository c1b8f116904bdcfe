package proxy

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/state/evac"
)

// evacuationSource is a platform that tells which failure domains are evacuated.
type evacuationSource interface {
	// WatchEvacuations makes the source call apply with the evacuations that it reads with the configuration.
	WatchEvacuations(apply func(*evac.Batch))
}

// wireEvacuations watches evacuations if the settings say so.
func (srv *Server) wireEvacuations() {
	source, ok := srv.Adapters.TicketSource.(evacuationSource)
	if !ok || srv.Settings.Forward.EvacuateMs <= 0 {
		return
	}
	sy := &srv.parts.syncer
	sy.Evacuations = &srv.parts.evacuations
	sy.OnEvacuate = srv.applySearchers
	source.WatchEvacuations(sy.ApplyEvacuations)
}

// applySearchers applies the newest list of searchers with the evacuations in force. It is called after a change of either.
func (srv *Server) applySearchers() {
	srv.applied.mu.Lock()
	defer srv.applied.mu.Unlock()
	if srv.applied.services == nil {
		return
	}
	services := srv.parts.evacuations.Mask(srv.applied.services)
	srv.updateWarmups(services)
	srv.parts.routeTable.SetSearchers(services)
	for _, r := range srv.parts.stale.Update(srv.clock.Now(), services) {
		srv.parts.conns.AbandonWaiting(r.Addr)
	}
}

// unlessEvacuated returns a check that calls isGone, except for a searcher of an evacuated domain: it gets no connection, and whether it
// has ended is not known.
func (srv *Server) unlessEvacuated(isGone func(ctx context.Context, s *yuccahinge.Searcher, since yuccahinge.Millis) bool) func(context.Context, *yuccahinge.Searcher, yuccahinge.Millis) bool {
	return func(ctx context.Context, s *yuccahinge.Searcher, since yuccahinge.Millis) bool {
		return !srv.parts.evacuations.IsEvacuated(s.Domain) && isGone(ctx, s, since)
	}
}
