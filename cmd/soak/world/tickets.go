package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// exchange is what hosts tell each other, both ways.
type exchange struct {
	row     roster.Row
	rows    []roster.Row
	sum     uint64
	notices []yuccahinge.Notice
	// noticeSum tells the notices that the sender knows from those of others.
	noticeSum uint64
	request   spread.Request
	reply     spread.Reply
}

const (
	exchangeTimeoutMs = 500
	deltaRows         = 16
	// compareRowsMs is the least time between two comparisons of whole rosters.
	compareRowsMs = 5 * yuccahinge.Second
	// catchUpNoticesMs is the least time between two requests for all notices.
	catchUpNoticesMs = 1 * yuccahinge.Second
)

func (h *host) exchangeAll() {
	if h.state() == nil {
		h.callSeeds()
	}
	for _, m := range h.roster.Next(h.w.now()) {
		h.exchange(yuccahinge.HostID(m.ID))
	}
}

// exchange compares the states of two hosts.
func (h *host) exchange(id yuccahinge.HostID) {
	r := h.spread.Ask(h.w.now())
	r.Quiet = h.w.is(DropAntiEntropy)
	h.send(id, r)
}

// send opens an exchange with a peer.
func (h *host) send(id yuccahinge.HostID, r spread.Request) {
	h.w.check.count("exchange")
	if r.Parcel != nil {
		h.w.check.count("exchange with a parcel")
	}
	out := h.message(id)
	out.request = r
	asked := h.w.now()
	serve := func(to *host, answer func(any)) {
		to.hear(out)
		reply, decisions := to.spread.Answer(to.w.now(), r)
		to.act(decisions)
		back := to.message(h.id)
		back.reply = reply
		answer(back)
	}
	h.call(id, exchangeTimeoutMs, serve, func(reply any) {
		now := h.w.now()
		back, ok := reply.(*exchange)
		if !ok {
			h.changed(h.roster.Failed(now, id))
			return
		}
		h.hear(back)
		h.act(h.spread.Replied(now, r, back.reply))
		h.heardAt = max(h.heardAt, asked)
		h.compared(asked)
	})
}

func (h *host) message(to yuccahinge.HostID) *exchange {
	now := h.w.now()
	return &exchange{row: h.roster.Own(now), rows: h.roster.Delta(to, deltaRows), sum: h.roster.Sum(), notices: h.riding(now), noticeSum: h.book.Sum(now)}
}

func (h *host) hear(e *exchange) {
	now := h.w.now()
	h.changed(h.roster.Heard(now, e.row))
	h.changed(h.roster.Merge(now, e.rows))
	for _, n := range e.notices {
		h.hearNotice(n)
	}
	h.compareSoon(now, e)
}

// compareSoon compares with a peer that believes something else of the hosts or has heard other notices.
func (h *host) compareSoon(now yuccahinge.Millis, e *exchange) {
	rows := e.sum != h.roster.Sum() && now-h.comparedRows >= compareRowsMs
	notices := e.noticeSum != h.book.Sum(now) && now-h.caughtUp >= catchUpNoticesMs
	if !rows && !notices {
		return
	}
	h.comparedRows = now
	if notices {
		h.caughtUp = now
	}
	h.compareRows(yuccahinge.HostID(e.row.Member.ID), notices)
}

// rows is a part of a comparison of whole rosters.
type rows struct {
	own  roster.Row
	sums [roster.Buckets]uint64
	rows []roster.Row
	// notices are sent to a host that asks for them.
	notices []yuccahinge.Notice
	asks    bool
}

// compareRows fetches the rows that differ from a peer's, and sends it those of this host. It may ask for all
// notices too.
func (h *host) compareRows(id yuccahinge.HostID, notices bool) {
	ask := h.rows(nil)
	ask.asks = notices
	h.call(id, exchangeTimeoutMs, ask.answer, func(reply any) {
		got, ok := reply.(*rows)
		if !ok {
			return
		}
		now := h.w.now()
		h.changed(h.roster.Heard(now, got.own))
		h.changed(h.roster.Merge(now, got.rows))
		for _, n := range got.notices {
			h.hearNotice(n)
		}
		back := h.rows(h.roster.Rows(got.sums))
		if len(back.rows) > 0 && back.sums != got.sums {
			h.call(id, exchangeTimeoutMs, back.answer, func(any) {})
		}
	})
}

func (h *host) rows(list []roster.Row) *rows {
	return &rows{own: h.roster.Own(h.w.now()), sums: h.roster.Sums(), rows: list}
}

func (r *rows) answer(to *host, answer func(any)) {
	now := to.w.now()
	to.changed(to.roster.Heard(now, r.own))
	to.changed(to.roster.Merge(now, r.rows))
	back := to.rows(to.roster.Rows(r.sums))
	if r.asks {
		back.notices = to.standing(now)
	}
	answer(back)
}

// act carries out the decisions of the ticket parts.
func (h *host) act(decisions []spread.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case spread.Adopt:
			h.adopt(d.State)
		case spread.Exchange:
			h.send(d.Peer, h.spread.Ask(h.w.now()))
		case spread.Deliver:
			h.send(d.Peer, spread.Request{Summary: h.spread.Summary(h.w.now()), Parcel: d.Parcel})
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
	h.w.check.adopted(h, s)
	h.log = append(h.log, publication{at: h.w.now(), number: s.Ticket})
	if h.w.is(SwitchMaps) {
		h.switchMaps(s)
	}
}

// state returns the state in force.
func (h *host) state() *yuccahinge.State { return h.spread.State() }

func (h *host) readHead() {
	if h.isReading {
		return
	}
	h.isReading = true
	h.w.ask(h, func() any { return h.w.head() }, func(reply any) {
		h.isReading = false
		head, ok := reply.(yuccahinge.TicketNumber)
		if !ok {
			return
		}
		if h.w.is(AcceptLowerTicket) && head < h.spread.Number() {
			h.readLower()
			return
		}
		h.act(h.spread.HeadRead(h.w.now(), head))
	})
}

func (h *host) readTicket(n yuccahinge.TicketNumber) {
	h.w.ask(h, func() any { return h.w.readTicket(n) }, func(reply any) {
		t, ok := reply.(*yuccahinge.Ticket)
		switch {
		case !ok:
			return
		case t == nil:
			h.act(h.spread.TicketFailed(h.w.now(), n, true, "the platform lacks it"))
		default:
			h.act(h.spread.TicketRead(h.w.now(), t))
		}
	})
}

func (h *host) readState() {
	h.w.ask(h, func() any { return h.w.readState() }, func(reply any) {
		if s, _ := reply.(*yuccahinge.State); s != nil {
			h.act(h.spread.StateRead(h.w.now(), s))
		}
	})
}

func (h *host) readList() {
	h.w.ask(h, func() any { return h.w.list() }, func(reply any) {
		list, ok := reply.([]yuccahinge.Member)
		if !ok {
			return
		}
		h.changed(h.roster.Listed(h.w.now(), list))
		for _, m := range list {
			if m.Role == yuccahinge.RoleSearcher {
				h.hearNotice(yuccahinge.Notice{
					Kind: yuccahinge.NoticeDraining, Key: m.ID, Incarnation: m.Incarnation, TTLMs: drainingTTL,
				})
			}
		}
	})
}

// readLower is the wrong decision of AcceptLowerTicket: the platform is believed when it goes backwards.
func (h *host) readLower() {
	h.w.ask(h, func() any { return h.w.readState() }, func(reply any) {
		s, _ := reply.(*yuccahinge.State)
		if s == nil || s.Ticket >= h.spread.Number() {
			return
		}
		old := h.spread
		h.spread = spread.Spread{Self: old.Self, Domain: old.Domain, Seed: old.Seed, PeriodMs: old.PeriodMs}
		h.spread.Tick(h.w.now(), h.roster.Members())
		h.act(h.spread.StateRead(h.w.now(), s))
	})
}
