package world

import "github.com/yuccahinge/yuccahinge"

// links keeps since when pairs of slots, and slots and the platform, have been connected without a break:
// both ends alive and awake and nothing cut between them. Lost messages alone do not break a link.
type links struct {
	pairs    [][]since
	platform []since
}

// since is the beginning of a state that holds, if it holds.
type since struct {
	holds bool
	at    yuccahinge.Millis
}

func (s *since) set(now yuccahinge.Millis, holds bool) {
	if holds && !s.holds {
		s.at = now
	}
	s.holds = holds
}

// lasted reports whether the state has held for a time.
func (s *since) lasted(now, d yuccahinge.Millis) bool { return s.holds && now-s.at >= d }

// relink follows every change of cuts, lives and pauses.
func (w *World) relink() {
	n := len(w.slots)
	if w.links.pairs == nil {
		w.links.platform = make([]since, n)
		w.links.pairs = make([][]since, n)
		for i := range w.links.pairs {
			w.links.pairs[i] = make([]since, n)
		}
	}
	now := w.now()
	for i := range n {
		a := w.slots[i].host
		w.links.platform[i].set(now, w.platform.fresh() && w.joined(a, a.place(), platformPlace))
		for j := range n {
			b := w.slots[j].host
			w.links.pairs[i][j].set(now, w.joined(a, a.place(), b.place()) && w.joined(b, b.place(), a.place()))
		}
	}
}

// joined reports whether a host runs and nothing is cut between its place and another.
func (w *World) joined(h *host, from, to place) bool {
	return h.isAwake(w.now()) && !w.net.cut(from, to) && !w.net.cut(to, from)
}

// linked reports whether two hosts have been connected for a time.
func (w *World) linked(a, b *host, d yuccahinge.Millis) bool {
	return w.links.pairs[a.slot.index][b.slot.index].lasted(w.now(), d)
}
