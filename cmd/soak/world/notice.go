package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/depart"
)

const (
	drainingTTL = 60 * yuccahinge.Second
	// maxNotices bounds the notices piggybacked on one exchange.
	maxNotices = 32
	// pushIntervalMs is the minimum time between two rounds that push new notices immediately.
	pushIntervalMs = 100
	// pushFanOut is the number of hosts of the host's own domain that a round sends to.
	pushFanOut = 3
	// pollIntervalMs is the time between two polls of a searcher's load report. urgentPollIntervalMs is that time while a
	// new index waits for the reports.
	pollIntervalMs       = 10 * yuccahinge.Second
	urgentPollIntervalMs = 1 * yuccahinge.Second
)

// observeReport processes the load report in a searcher's reply to a call that was sent at the instant asked.
func (h *host) observeReport(asked yuccahinge.Millis, r *yuccahinge.LoadReport) {
	h.ready.RecordReport(r.Searcher, r)
	if h.leave.RecordReport(h.w.now(), asked, r.Searcher, r) {
		h.recordLeaving(r.Searcher, r.Incarnation)
		h.publishNotice(yuccahinge.Notice{
			Kind: yuccahinge.NoticeDraining, Key: string(r.Searcher), Incarnation: r.Incarnation, TTLMs: drainingTTL,
		})
	}
}

func (h *host) recordLeaving(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	h.w.check.recordLeaving(h, incarnation)
	h.note(string(id), "knows that %s leaves", incarnation)
}

// receiveNotice processes a notice from a peer or the membership list, and pushes it on if it is new.
func (h *host) receiveNotice(n yuccahinge.Notice) {
	now := h.w.now()
	if !h.book.Add(now, n) {
		return
	}
	switch n.Kind {
	case yuccahinge.NoticeDraining:
		id := yuccahinge.SearcherID(n.Key)
		if h.leave.MarkDraining(now, id, n.Incarnation) {
			h.recordLeaving(id, n.Incarnation)
		}
	case yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
		h.poison.ApplyNotice(now, n)
	}
	h.pushNotices(now)
}

// publishNotice adds a notice that this host has created, and pushes it to peers.
func (h *host) publishNotice(n yuccahinge.Notice) {
	now := h.w.now()
	if h.book.Add(now, n) {
		h.pushNotices(now)
	}
}

// pushNotices exchanges with some hosts immediately to send them new notices. Within pushIntervalMs of the last such
// round it does nothing: the notices then go with the exchanges that follow.
func (h *host) pushNotices(now yuccahinge.Millis) {
	if now-h.noticesPushedAt < pushIntervalMs || h.w.hasBreak(WithholdNotices) {
		return
	}
	h.noticesPushedAt = now
	for _, id := range h.spread.SamplePeers(pushFanOut) {
		h.exchange(id)
	}
}

// noticeDelta returns the notices to send with an exchange.
func (h *host) noticeDelta(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.hasBreak(WithholdNotices) {
		return nil
	}
	return h.book.Delta(now, maxNotices)
}

// allNotices returns all notices, for a host that requests them.
func (h *host) allNotices(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.hasBreak(WithholdNotices) {
		return nil
	}
	return h.book.All(now)
}

// isLeaving reports whether the host knows that a searcher is leaving.
func (h *host) isLeaving(id yuccahinge.SearcherID) bool {
	return !h.w.hasBreak(SendToLeaving) && h.leave.IsDraining(id)
}

// forgetLeaving implements ForgetDrain: a change in the roster drops what is known of leaving searchers.
func (h *host) forgetLeaving() {
	h.leave = new(depart.Tracker)
	h.route = h.newRoute()
}

// pollSearchers polls load reports: of all searchers at a long interval, and more often of those that a new index waits for.
func (h *host) pollSearchers(now yuccahinge.Millis) {
	s := h.state()
	if s == nil {
		return
	}
	var ids []yuccahinge.SearcherID
	if now >= h.nextUrgent {
		h.nextUrgent = now + urgentPollIntervalMs
		ids = h.ready.UnconfirmedSearchers(searchService, s.Services[searchService])
	}
	if now >= h.nextPoll {
		h.nextPoll = now + pollIntervalMs
		ids = h.w.allSearchers()
	}
	for _, id := range ids {
		h.poll(h.w.searchers[id])
	}
}

func (h *host) poll(s *searcher) {
	w := h.w
	asked := w.now()
	w.send(queryPath, h.endpoint(), s.endpoint(), s, func() {
		if !s.isAlive {
			return
		}
		r := s.polledReport()
		w.send(replyPath, s.endpoint(), h.endpoint(), h, func() {
			h.observeReport(asked, &r)
			h.route.RecordReport(w.now(), s.id, &r)
		})
	})
}
