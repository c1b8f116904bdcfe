package proxy

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/state/routes"
)

// maxWarmsPerRound bounds the connections that one round opens, so that the handshakes of all hosts do not fill the slots
// of searchers that have just started.
const maxWarmsPerRound = 12

// warmDelayMs is the time after the start from which connections are opened in advance. Before, a host that has started together
// with all others does not know them and takes itself for strong, and the handshakes of all hosts would fill the searchers'
// slots.
const warmDelayMs yuccahinge.Millis = 700

// warmConnections opens a first connection to each searcher of wide requests before a request needs it. It does so once
// per searcher: a connection that the searcher closes as idle is not worth another handshake.
func (srv *Server) warmConnections(plan *routes.Plan) {
	if plan == nil || srv.clock.Now() < srv.started+warmDelayMs {
		return
	}
	if _, isStrong := srv.parts.selector.CountStrong(srv.parts.syncer.Roster().Members()); !isStrong {
		return
	}
	left := maxWarmsPerRound
	for _, ix := range plan.Indexes {
		if len(ix.Shards) < 2 {
			continue
		}
		for id, s := range ix.Searchers {
			if srv.warmedSearchers[id] || !srv.mayCall(id) {
				continue
			}
			if left == 0 {
				return
			}
			left--
			srv.warmedSearchers[id] = true
			srv.parts.conns.Warm(s.Addr, srv.ConnectionShare(id, s))
		}
	}
	srv.pruneWarmedSearchers(plan)
}

// pruneWarmedSearchers removes searchers that are no longer listed from warmedSearchers, once it holds more than twice
// the listed ones.
func (srv *Server) pruneWarmedSearchers(plan *routes.Plan) {
	listed := 0
	for _, ix := range plan.Indexes {
		listed += len(ix.Searchers)
	}
	if len(srv.warmedSearchers) <= 2*listed {
		return
	}
	kept := make(map[yuccahinge.SearcherID]bool, listed)
	for _, ix := range plan.Indexes {
		for id := range ix.Searchers {
			kept[id] = srv.warmedSearchers[id]
		}
	}
	srv.warmedSearchers = kept
}
