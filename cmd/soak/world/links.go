package world

import "github.com/yuccahinge/yuccahinge"

// links holds since when each pair of slots, and each slot and the platform, have been connected without interruption:
// both ends run and no cut lies between them. Lost messages alone do not interrupt a link.
type links struct {
	pairs    [][]condition
	platform []condition
}

// condition reports whether something holds, and since when.
type condition struct {
	holds bool
	since yuccahinge.Millis
}

func (c *condition) set(now yuccahinge.Millis, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// hasHeldFor reports whether the condition has held for at least d.
func (c *condition) hasHeldFor(now, d yuccahinge.Millis) bool { return c.holds && now-c.since >= d }

// updateLinks recomputes all links. It runs after each change of network cuts, live host processes, process pauses
// and platform faults.
func (w *World) updateLinks() {
	n := len(w.slots)
	if w.links.pairs == nil {
		w.links.platform = make([]condition, n)
		w.links.pairs = make([][]condition, n)
		for i := range w.links.pairs {
			w.links.pairs[i] = make([]condition, n)
		}
	}
	now := w.now()
	for i := range n {
		a := w.slots[i].host
		w.links.platform[i].set(now, w.platform.isFresh() && w.isConnected(a, a.endpoint(), platformEndpoint))
		for j := range n {
			b := w.slots[j].host
			w.links.pairs[i][j].set(now, w.isConnected(a, a.endpoint(), b.endpoint()) && w.isConnected(b, b.endpoint(), a.endpoint()))
		}
	}
}

// isConnected reports whether a host is alive and not paused, and no cut lies between its endpoint and another.
func (w *World) isConnected(h *host, from, to endpoint) bool {
	return h.isAwake(w.now()) && !w.net.isCut(from, to) && !w.net.isCut(to, from)
}

// connectedFor reports whether two hosts have been connected for at least d.
func (w *World) connectedFor(a, b *host, d yuccahinge.Millis) bool {
	return w.links.pairs[a.slot.index][b.slot.index].hasHeldFor(w.now(), d)
}
