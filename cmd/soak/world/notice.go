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
	// pollIntervalMs is the time between two polls of a searcher's load report. urgentPollIntervalMs replaces it while a
	// new index waits for the reports.
	pollIntervalMs       = 10 * yuccahinge.Second
	urgentPollIntervalMs = 1 * yuccahinge.Second
)

// observeReport processes the load report in a searcher's reply to a call that was sent at the instant sentAt.
func (h *host) observeReport(sentAt yuccahinge.Millis, r *yuccahinge.LoadReport) {
	h.versions.RecordReport(r.Searcher, r)
	if h.drainTracker.RecordReport(h.w.now(), sentAt, r.Searcher, r) {
		h.recordDraining(r.Searcher, r.Incarnation)
		h.publishNotice(yuccahinge.Notice{
			Kind: yuccahinge.NoticeDraining, Key: string(r.Searcher), Incarnation: r.Incarnation, TTLMs: drainingTTL,
		})
	}
}

func (h *host) recordDraining(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	h.w.check.recordDraining(h, incarnation)
	h.note(string(id), "knows that %s leaves", incarnation)
}

// receiveNotice processes a notice from a peer or the membership list, and pushes it on if it is new.
func (h *host) receiveNotice(n yuccahinge.Notice) {
	now := h.w.now()
	if !h.notices.Add(now, n) {
		return
	}
	switch n.Kind {
	case yuccahinge.NoticeDraining:
		id := yuccahinge.SearcherID(n.Key)
		if h.drainTracker.MarkDraining(now, id, n.Incarnation) {
			h.recordDraining(id, n.Incarnation)
		}
	case yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
		h.quarantine.ApplyNotice(now, n)
	case yuccahinge.NoticeMaxRate:
		h.learnRate(&n)
	}
	h.pushNotices(now)
}

// publishNotice adds a notice that this host has created, and pushes it to peers.
func (h *host) publishNotice(n yuccahinge.Notice) {
	now := h.w.now()
	if h.notices.Add(now, n) {
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
	for _, id := range h.node.SamplePeers(pushFanOut) {
		h.exchange(id)
	}
}

// noticeDelta returns the notices to send with an exchange.
func (h *host) noticeDelta(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.hasBreak(WithholdNotices) {
		return nil
	}
	return h.notices.Delta(now, maxNotices)
}

// allNotices returns all notices, for a host that requests them.
func (h *host) allNotices(now yuccahinge.Millis) []yuccahinge.Notice {
	if h.w.hasBreak(WithholdNotices) {
		return nil
	}
	return h.notices.All(now)
}

// isDraining reports whether the host knows that a searcher is draining.
func (h *host) isDraining(id yuccahinge.SearcherID) bool {
	return !h.w.hasBreak(SendToLeaving) && h.drainTracker.IsDraining(id)
}

// forgetDraining implements ForgetDrain: a change in the roster drops what is known of draining searchers.
func (h *host) forgetDraining() {
	h.drainTracker = new(depart.Tracker)
	h.balancer = h.newBalancer()
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
		ids = h.versions.UnconfirmedSearchers(searchService, s.Services[searchService])
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
	sentAt := w.now()
	if !h.balancer.StartProbe(sentAt, s.id, s.spec(), s.service) {
		return
	}
	w.check.checkRate(h, s)
	w.send(queryPath, h.endpoint(), s.endpoint(), s, func() {
		if !s.isAlive {
			return
		}
		r := s.polledReport()
		w.send(replyPath, s.endpoint(), h.endpoint(), h, func() {
			w.check.recordTold(h, s, &r)
			h.observeReport(sentAt, &r)
			h.balancer.RecordReport(w.now(), s.id, &r)
		})
	})
}
