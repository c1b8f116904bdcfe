package gate

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/state/chart"
)

// warmAtOnce is the number of connections that are opened at one look, so that the handshakes of all hosts do not fill
// the slots of searchers that have just started.
const warmAtOnce = 12

// warm opens a first connection to searchers of wide requests before one needs it. Each gets it once: a connection that
// the searcher closes for want of use is not worth a handshake.
func (g *Gate) warm(plan *chart.Plan) {
	if plan == nil || !g.isStrong.Load() {
		return
	}
	left := warmAtOnce
	for _, ix := range plan.Indexes {
		if len(ix.Shards) < 2 {
			continue
		}
		for id, s := range ix.Searchers {
			if g.warmed[id] {
				continue
			}
			if left == 0 {
				return
			}
			left--
			g.warmed[id] = true
			g.parts.conns.Warm(s.Addr, g.connections(id, s))
		}
	}
	g.forgetWarmed(plan)
}

// forgetWarmed drops the searchers that are no longer listed once they are many.
func (g *Gate) forgetWarmed(plan *chart.Plan) {
	listed := 0
	for _, ix := range plan.Indexes {
		listed += len(ix.Searchers)
	}
	if len(g.warmed) <= 2*listed {
		return
	}
	kept := make(map[yuccahinge.SearcherID]bool, listed)
	for _, ix := range plan.Indexes {
		for id := range ix.Searchers {
			kept[id] = g.warmed[id]
		}
	}
	g.warmed = kept
}
