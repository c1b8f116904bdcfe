package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// exchange is the message of one host in an exchange of membership rows, notices and ticket state.
type exchange struct {
	row       roster.Row
	rows      []roster.Row
	rosterSum uint64
	notices   []yuccahinge.Notice
	// noticeSum is the hash of the notices that the sender knows.
	noticeSum uint64
	request   spread.Request
	reply     spread.Reply
}

const (
	exchangeTimeoutMs = 500
	maxDeltaRows      = 16
	// compareRowsIntervalMs is the minimum time between two comparisons of whole rosters.
	compareRowsIntervalMs = 5 * yuccahinge.Second
	// fetchNoticesIntervalMs is the minimum time between two requests for all notices.
	fetchNoticesIntervalMs = 1 * yuccahinge.Second
)

func (h *host) exchangeAll() {
	if h.state() == nil {
		h.contactSeeds()
	}
	for _, m := range h.roster.PickPeers(h.w.now()) {
		h.exchange(yuccahinge.HostID(m.ID))
	}
}

// exchange compares the state of this host with that of a peer.
func (h *host) exchange(id yuccahinge.HostID) {
	r := h.node.NewRequest(h.w.now())
	r.SummaryOnly = h.w.hasBreak(DropAntiEntropy)
	h.sendExchange(id, r)
}

// sendExchange starts an exchange with a peer.
func (h *host) sendExchange(id yuccahinge.HostID, r spread.Request) {
	h.w.check.count("exchange")
	if r.Update != nil {
		h.w.check.count("exchange with a parcel")
	}
	out := h.newExchange(id)
	out.request = r
	sentAt := h.w.now()
	serve := func(to *host, answer func(any)) {
		to.mergeExchange(out)
		reply, decisions := to.node.HandleRequest(to.w.now(), r)
		to.perform(decisions)
		back := to.newExchange(h.id)
		back.reply = reply
		answer(back)
	}
	h.call(id, exchangeTimeoutMs, serve, func(reply any) {
		now := h.w.now()
		back, ok := reply.(*exchange)
		if !ok {
			h.noteRosterChanges(h.roster.RecordFailure(now, id))
			return
		}
		h.mergeExchange(back)
		h.perform(h.node.HandleReply(now, r, back.reply))
		h.repliedCallAt = max(h.repliedCallAt, sentAt)
		h.endCompare(sentAt)
	})
}

func (h *host) newExchange(to yuccahinge.HostID) *exchange {
	now := h.w.now()
	return &exchange{row: h.roster.OwnRow(now), rows: h.roster.Delta(to, maxDeltaRows), rosterSum: h.roster.Checksum(), notices: h.noticeDelta(now), noticeSum: h.notices.Checksum(now)}
}

func (h *host) mergeExchange(e *exchange) {
	now := h.w.now()
	h.noteRosterChanges(h.roster.MergeDirect(now, e.row))
	h.noteRosterChanges(h.roster.Merge(now, e.rows))
	for _, n := range e.notices {
		h.receiveNotice(n)
	}
	h.compareIfDifferent(now, e)
}

// compareIfDifferent compares whole rosters with a peer whose roster or notices differ from those of this host.
func (h *host) compareIfDifferent(now yuccahinge.Millis, e *exchange) {
	rows := e.rosterSum != h.roster.Checksum() && now-h.rowsComparedAt >= compareRowsIntervalMs
	notices := e.noticeSum != h.notices.Checksum(now) && now-h.noticesFetchedAt >= fetchNoticesIntervalMs
	if !rows && !notices {
		return
	}
	h.rowsComparedAt = now
	if notices {
		h.noticesFetchedAt = now
	}
	h.compareRows(yuccahinge.HostID(e.row.Member.ID), notices)
}

// rowsMessage is a message in a comparison of whole rosters.
type rowsMessage struct {
	own  roster.Row
	sums [roster.BucketCount]uint64
	rows []roster.Row
	// notices holds all notices of the sender, if the other host has requested them.
	notices         []yuccahinge.Notice
	requestsNotices bool
}

// compareRows fetches the rows of a peer that differ, and sends it those of this host. It may request all notices too.
func (h *host) compareRows(id yuccahinge.HostID, notices bool) {
	request := h.newRowsMessage(nil)
	request.requestsNotices = notices
	h.call(id, exchangeTimeoutMs, request.serve, func(reply any) {
		got, ok := reply.(*rowsMessage)
		if !ok {
			return
		}
		now := h.w.now()
		h.noteRosterChanges(h.roster.MergeDirect(now, got.own))
		h.noteRosterChanges(h.roster.Merge(now, got.rows))
		for _, n := range got.notices {
			h.receiveNotice(n)
		}
		back := h.newRowsMessage(h.roster.DiffRows(got.sums))
		if len(back.rows) > 0 && back.sums != got.sums {
			h.call(id, exchangeTimeoutMs, back.serve, func(any) {})
		}
	})
}

func (h *host) newRowsMessage(list []roster.Row) *rowsMessage {
	return &rowsMessage{own: h.roster.OwnRow(h.w.now()), sums: h.roster.BucketSums(), rows: list}
}

func (r *rowsMessage) serve(to *host, answer func(any)) {
	now := to.w.now()
	to.noteRosterChanges(to.roster.MergeDirect(now, r.own))
	to.noteRosterChanges(to.roster.Merge(now, r.rows))
	back := to.newRowsMessage(to.roster.DiffRows(r.sums))
	if r.requestsNotices {
		back.notices = to.allNotices(now)
	}
	answer(back)
}

// perform carries out the decisions of the spread package.
func (h *host) perform(decisions []spread.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case spread.Adopt:
			h.adopt(d.State)
		case spread.Exchange:
			h.sendExchange(d.Peer, h.node.NewRequest(h.w.now()))
		case spread.SendUpdate:
			h.sendExchange(d.Peer, spread.Request{Summary: h.node.Summary(h.w.now()), Update: d.Update})
		case spread.ReadTicket:
			h.readTicket(d.Number)
		case spread.ReadState:
			h.readState()
		default:
			h.note("", "%s %d from %q: %s", d.Kind, d.Number, d.Peer, d.Reason)
		}
	}
}

// adopt puts a state in force.
func (h *host) adopt(s *yuccahinge.State) {
	h.note(string(h.id), "ticket %d is in force with digest %.8s", s.Ticket, s.Digest)
	h.w.check.checkAdopted(h, s)
	h.adopted = append(h.adopted, publication{at: h.w.now(), number: s.Ticket})
	if h.w.hasBreak(SwitchMaps) {
		h.switchMaps(s)
	}
}

// state returns the state in force.
func (h *host) state() *yuccahinge.State { return h.node.State() }

func (h *host) readHead() {
	if h.isReadingHead {
		return
	}
	h.isReadingHead = true
	h.w.callPlatform(h, func() any { return h.w.readHead() }, func(reply any) {
		h.isReadingHead = false
		head, ok := reply.(yuccahinge.TicketNumber)
		if !ok {
			return
		}
		if h.w.hasBreak(AcceptLowerTicket) && head < h.node.Number() {
			h.readLower()
			return
		}
		h.perform(h.node.HandleHead(h.w.now(), head))
	})
}

func (h *host) readTicket(n yuccahinge.TicketNumber) {
	h.w.callPlatform(h, func() any { return h.w.readTicket(n) }, func(reply any) {
		t, ok := reply.(*yuccahinge.Ticket)
		switch {
		case !ok:
			return
		case t == nil:
			h.perform(h.node.HandleTicketError(h.w.now(), n, true, "the platform lacks it"))
		default:
			h.perform(h.node.HandleTicket(h.w.now(), t))
		}
	})
}

func (h *host) readState() {
	h.w.callPlatform(h, func() any { return h.w.readState() }, func(reply any) {
		if s, _ := reply.(*yuccahinge.State); s != nil {
			h.perform(h.node.HandleState(h.w.now(), s))
		}
	})
}

func (h *host) readList() {
	h.w.callPlatform(h, func() any { return h.w.listMembers() }, func(reply any) {
		list, ok := reply.([]yuccahinge.Member)
		if !ok {
			return
		}
		h.noteRosterChanges(h.roster.MergeList(h.w.now(), list))
		for _, m := range list {
			if m.Role == yuccahinge.RoleSearcher {
				h.receiveNotice(yuccahinge.Notice{
					Kind: yuccahinge.NoticeDraining, Key: m.ID, Incarnation: m.Incarnation, TTLMs: drainingTTL,
				})
			}
		}
	})
}

// readLower implements AcceptLowerTicket: the host adopts a state of the platform that is older than its own.
func (h *host) readLower() {
	h.w.callPlatform(h, func() any { return h.w.readState() }, func(reply any) {
		s, _ := reply.(*yuccahinge.State)
		if s == nil || s.Ticket >= h.node.Number() {
			return
		}
		old := h.node
		h.node = spread.Node{Self: old.Self, Domain: old.Domain, Seed: old.Seed, IntervalMs: old.IntervalMs, BoundMs: old.BoundMs}
		h.node.SetMembers(h.w.now(), h.roster.Members())
		h.perform(h.node.HandleState(h.w.now(), s))
	})
}
