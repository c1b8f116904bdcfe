package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/leave"
)

const (
	drainingTTL = 60 * yuccahinge.Second
	// noticeRows bounds the notices that ride along on a message.
	noticeRows = 32
	// tellEveryMs is the least time between two rounds that spread new notices at once.
	tellEveryMs = 100
	// tellNow is the number of hosts of the own domain in such a round.
	tellNow = 3
	// pollMs is the time between two reports that a host asks a searcher for, and urgentMs the time between two
	// that a new index waits for.
	pollMs   = 10 * yuccahinge.Second
	urgentMs = 1 * yuccahinge.Second
)

// learn takes what a searcher says of itself in reply to a call sent at the instant asked.
func (h *host) learn(asked yuccahinge.Millis, r *yuccahinge.LoadReport) {
	h.ready.Observe(r.Searcher, r)
	if h.leave.See(h.w.now(), asked, r.Searcher, r) {
		h.hearsLeaving(r.Searcher, r.Incarnation)
		h.tell(yuccahinge.Notice{
			Kind: yuccahinge.NoticeDraining, Key: string(r.Searcher), Incarnation: r.Incarnation, TTLMs: drainingTTL,
		})
	}
}

func (h *host) hearsLeaving(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	h.w.check.knows(h, life)
	h.note(string(id), "knows that %s leaves", life)
}

// hearNotice takes a notice from a peer or the membership list, and passes it on when it is news.
func (h *host) hearNotice(n yuccahinge.Notice) {
	now := h.w.now()
	if !h.book.Add(now, n) {
		return
	}
	switch n.Kind {
	case yuccahinge.NoticeDraining:
		id := yuccahinge.SearcherID(n.Key)
		if h.leave.Mark(now, id, n.Incarnation) {
			h.hearsLeaving(id, n.Incarnation)
		}
	case yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
		h.poison.Hear(now, n)
	}
	h.tellSoon(now)
}

// tell spreads a notice of this host's own.
func (h *host) tell(n yuccahinge.Notice) {
	now := h.w.now()
	if h.book.Add(now, n) {
		h.tellSoon(now)
	}
}

// tellSoon sends new notices to some hosts at once, unless that has just been done: then they ride along with
// the exchanges that follow.
func (h *host) tellSoon(now yuccahinge.Millis) {
	if now-h.told < tellEveryMs || h.w.is(KeepNoticesBack) {
		return
	}
	h.told = now
	for _, id := range h.spread.Some(tellNow) {
		h.exchange(id)
	}
}

// riding returns the notices that go with a message.
func (h *host) riding(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.is(KeepNoticesBack) {
		return nil
	}
	return h.book.Delta(now, noticeRows)
}

// standing returns all notices, for a host that asks for them.
func (h *host) standing(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.is(KeepNoticesBack) {
		return nil
	}
	return h.book.All(now)
}

// isLeaving reports whether a searcher is known to leave.
func (h *host) isLeaving(id yuccahinge.SearcherID) bool {
	return !h.w.is(SendToLeaving) && h.leave.Leaving(id)
}

// forgetLeaving is the wrong decision of ForgetDrain: what is known of searchers goes with a change of hosts.
func (h *host) forgetLeaving() {
	h.leave = new(leave.Leave)
	h.route = h.newRoute()
}

// pollSearchers asks searchers for their reports: each now and then, and at once those that a new index waits for.
func (h *host) pollSearchers(now yuccahinge.Millis) {
	s := h.state()
	if s == nil {
		return
	}
	var ids []yuccahinge.SearcherID
	if now >= h.nextUrgent {
		h.nextUrgent = now + urgentMs
		ids = h.ready.Unknown(searchService, s.Services[searchService])
	}
	if now >= h.nextPoll {
		h.nextPoll = now + pollMs
		ids = h.w.allSearchers()
	}
	for _, id := range ids {
		h.poll(h.w.searchers[id])
	}
}

func (h *host) poll(s *searcher) {
	w := h.w
	asked := w.now()
	w.send(queryPath, h.place(), s.place(), s, func() {
		if !s.alive {
			return
		}
		r := s.health()
		w.send(replyPath, s.place(), h.place(), h, func() {
			h.learn(asked, &r)
			h.route.Report(w.now(), s.id, &r)
		})
	})
}
