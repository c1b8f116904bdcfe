package world

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/leave"
)

// notice is a fact that spreads between hosts until its time has passed.
type notice struct {
	key  noticeKey
	left yuccahinge.Millis
}

type noticeKey struct {
	kind        yuccahinge.NoticeKind
	key         string
	incarnation yuccahinge.Incarnation
}

const (
	drainingTTL = 60 * yuccahinge.Second
	// tellNow is the number of hosts of the own domain that are told at once.
	tellNow = 3
	// pollMs is the time between two reports that a host asks a searcher for.
	pollMs = 10 * yuccahinge.Second
)

// learn takes what a searcher says of itself in reply to a call sent at the instant asked.
func (h *host) learn(asked yuccahinge.Millis, r *yuccahinge.LoadReport) {
	h.ready.Observe(r.Searcher, r)
	if h.leave.See(h.w.now(), asked, r.Searcher, r) {
		h.hearsLeaving(r.Searcher, r.Incarnation)
		h.tell(notice{noticeKey{yuccahinge.NoticeDraining, string(r.Searcher), r.Incarnation}, drainingTTL})
	}
}

func (h *host) hearsLeaving(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	h.w.check.knows(h, id, life)
	h.note(string(id), "knows that %s leaves", life)
}

// hearNotice takes a notice from a peer, and passes it on when it is news.
func (h *host) hearNotice(n notice) {
	now := h.w.now()
	if _, ok := h.notices[n.key]; ok {
		return
	}
	switch n.key.kind {
	case yuccahinge.NoticeDraining:
		id := yuccahinge.SearcherID(n.key.key)
		if h.leave.Mark(now, id, n.key.incarnation) {
			h.hearsLeaving(id, n.key.incarnation)
		}
	case yuccahinge.NoticePoisoned:
		f, err := strconv.ParseUint(n.key.key, 16, 64)
		if err == nil {
			h.poison.Confirm(now, yuccahinge.Fingerprint(f), n.left)
		}
	}
	h.tell(n)
}

// tell spreads a notice: to some hosts at once, and to all with the exchanges that follow.
func (h *host) tell(n notice) {
	h.notices[n.key] = h.w.now() + n.left
	if h.w.is(KeepNoticesBack) {
		return
	}
	for _, id := range h.spread.Some(tellNow) {
		h.exchange(id)
	}
}

// liveNotices returns the notices that still stand. One that has passed is remembered for as long again, since
// another host, where it arrived later, may still tell of it.
func (h *host) liveNotices(now yuccahinge.Millis) []notice {
	var out []notice
	for k, until := range h.notices {
		if now > until+drainingTTL {
			delete(h.notices, k)
		}
		if until > now {
			out = append(out, notice{k, until - now})
		}
	}
	slices.SortFunc(out, func(a, b notice) int {
		return cmp.Compare(fmt.Sprint(a.key), fmt.Sprint(b.key))
	})
	if h.w.is(KeepNoticesBack) {
		return nil
	}
	return out
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
	ids := h.ready.Unknown(searchService, s.Services[searchService])
	if now >= h.nextPoll {
		h.nextPoll = now + pollMs
		ids = append(h.w.searchersOf(searchService), h.w.searchersOf(chargeService)...)
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
