package world

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/poison"
)

// query is a search that a host has accepted.
type query struct {
	host     *host
	request  yuccahinge.SearchRequest
	arrived  yuccahinge.Millis
	deadline yuccahinge.Millis
	answer   func(*yuccahinge.SearchAnswer)
	print    yuccahinge.Fingerprint
	gather   *gather.Gather
	calendar *yuccahinge.Calendar
	attempts map[yuccahinge.AttemptID]*attempt
	lost     bool
	admitted bool
}

const (
	// compareMs bounds the comparison with peers after a pause.
	compareMs = 30
	// freshPeers is the number of hosts of the own domain that are asked after a pause.
	freshPeers = 2
	// tickLeastMs keeps a tick that is overdue from running at once for ever.
	tickLeastMs = 0.01
	// catchUpMs is the time between two looks at whether a ticket has arrived.
	catchUpMs = 20
)

// search takes a search from a caller.
func (h *host) search(r yuccahinge.SearchRequest, answer func(*yuccahinge.SearchAnswer)) {
	now := h.w.now()
	q := &query{host: h, request: r, arrived: now, deadline: now + r.DeadlineMs, answer: answer}
	q.print = yuccahinge.Fingerprint(xxhash.Sum64String(string(r.Service) + "\x00" + string(r.Query)))
	q.attempts = make(map[yuccahinge.AttemptID]*attempt)
	h.accept(q.id(), "search")
	q.admit()
}

// compare puts a query off until the host has compared its state with a peer after a pause.
func (h *host) compare(q *query) {
	h.comparing = append(h.comparing, q)
	if len(h.comparing) == 1 {
		h.askPeers()
	}
}

// askPeers begins the comparison. It ends without a reply after a while.
func (h *host) askPeers() {
	began := h.w.now()
	for i, id := range h.spread.Some(freshPeers) {
		h.exchange(id)
		if i == 0 {
			h.compareRows(id, true)
		}
	}
	h.after(compareMs, func() { h.compared(began) })
}

// compared ends the comparison, when a peer has replied to a call sent after the pause was noticed, or when
// the wait is over.
func (h *host) compared(asked yuccahinge.Millis) {
	if asked < h.staleAt {
		return
	}
	h.isStale = false
	waiting := h.comparing
	h.comparing = nil
	for _, q := range waiting {
		q.admit()
	}
}

func (q *query) id() string { return string(q.request.RequestID) }

// admit waits for the ticket that the caller asks for, and then lets the query in.
func (q *query) admit() {
	h, now := q.host, q.host.w.now()
	h.noticePause(now)
	h.firstSince(h.pause, q.arrived)
	if h.isStale {
		h.compare(q)
		return
	}
	if h.spread.Number() < q.request.MinTicket && !h.w.is(IgnoreMinTicket) {
		if now-q.arrived > q.request.DeadlineMs/2 {
			q.refuse(yuccahinge.ReasonNotRun)
			return
		}
		if now == q.arrived {
			for _, id := range h.spread.Some(tellNow) {
				h.exchange(id)
			}
		}
		h.after(catchUpMs, q.admit)
		return
	}
	if h.state() == nil || !h.limit.Admit(now, q.request.Service) {
		q.refuse(yuccahinge.ReasonShed)
		return
	}
	q.admitted = true
	verdict := h.poison.Check(now, q.print)
	if verdict == poison.Confirmed || verdict == poison.Resting {
		q.refuse(yuccahinge.ReasonPoisoned)
		return
	}
	q.pin(verdict)
}

// pin fixes the state of the query and sends its first attempts.
func (q *query) pin(verdict poison.Verdict) {
	h, now := q.host, q.host.w.now()
	state := h.state()
	service := state.Services[q.request.Service]
	q.calendar = state.Calendars[service.Calendar]
	ix := h.ready.Choose(now, q.request.Service, service)
	h.w.check.pinned(q, state)
	q.gather = &gather.Gather{
		Request: q.request.RequestID, Service: q.request.Service, Ticket: state.Ticket, Index: ix,
		Deadline: q.deadline, SoftDeadline: q.soft(), EnoughCoverage: 0.6,
		Domain: h.domain, Canary: !h.poison.Proven(q.print),
		Suspect: verdict == poison.Suspect, SuspectShard: h.poison.Shard(q.print),
		Picker: h.route, Hedger: &h.hedge, Learner: &h.hedge, Observer: h,
		RetryBudget: &h.retry, HedgeBudget: &h.hedges, Lost: q.lose,
	}
	h.note(q.id(), "pins ticket %d, index version %d, %s", state.Ticket, ix.Version, verdict)
	q.do(q.gather.Start(now))
}

// soft lets some queries answer early with less.
func (q *query) soft() yuccahinge.Millis {
	if len(q.id())%2 == 0 {
		return q.arrived + 60
	}
	return 0
}

// do carries out the actions of the gather part, each a step of its own.
func (q *query) do(actions []gather.Action) {
	h := q.host
	for _, a := range actions {
		switch a.Kind {
		case gather.Send:
			at := q.attempt(a)
			h.after(0, func() { h.launch(at) })
		case gather.Cancel:
			at := q.attempts[a.Attempt]
			h.after(0, func() { h.cancel(at) })
		case gather.Finish:
			q.finish()
			return
		}
	}
	if at, ok := q.gather.NextTick(); ok {
		h.w.queue.At(max(at, h.w.now()+tickLeastMs), h, q.tick)
	}
}

// tick passes the time on, unless an earlier tick has done so.
func (q *query) tick() {
	now := q.host.w.now()
	at, ok := q.gather.NextTick()
	if !ok || at > now {
		q.host.w.idle()
		return
	}
	q.do(q.gather.Tick(now))
}

func (q *query) attempt(a gather.Action) *attempt {
	h := q.host
	h.serial++
	at := &attempt{
		serial: h.serial, host: h, query: q, id: a.Attempt, searcher: h.w.searchers[a.Searcher],
		decided: h.w.now(), deadline: a.Deadline,
		request: yuccahinge.ShardRequest{
			RequestID: q.request.RequestID, Attempt: a.Attempt, Service: q.request.Service, Shard: a.Shard,
			IndexVersion: q.gather.Index.Version, Ticket: q.gather.Ticket,
			Query: q.request.Query, Calendar: q.calendar, DeadlineMs: a.Deadline - h.w.now(),
		},
	}
	h.w.check.count("attempt " + string(a.Cause))
	h.w.check.decided(at)
	q.attempts[a.Attempt] = at
	return at
}

// lose tells the poison part of a lost connection.
func (q *query) lose(now yuccahinge.Millis, shard yuccahinge.ShardID, id yuccahinge.SearcherID, proven bool) bool {
	h := q.host
	verdict, news := h.poison.Lost(now, poison.Loss{
		Query: q.print, Request: q.request.RequestID, Shard: shard, Searcher: id, Proven: proven,
	})
	if news {
		h.tell(h.poison.Notice(q.print, verdict, shard))
	}
	if verdict != poison.Confirmed {
		return false
	}
	h.w.check.count("query quarantined")
	return true
}

// ended takes the end of an attempt.
func (q *query) ended(id yuccahinge.AttemptID, r *yuccahinge.ShardResult) {
	if r.Reply != nil {
		q.host.poison.Replied(q.attempts[id].searcher.id)
	}
	q.do(q.gather.Result(q.host.w.now(), id, r))
}

// finish answers the caller.
func (q *query) finish() {
	h, now := q.host, q.host.w.now()
	if q.gather.Poisoned() {
		h.limit.Release(now, q.request.Service, now-q.arrived, true)
		q.reply(&yuccahinge.SearchAnswer{RequestID: q.request.RequestID, Outcome: yuccahinge.Unknown})
		return
	}
	a, _, err := q.gather.Answer()
	switch {
	case errors.Is(err, gather.ErrForeign):
		h.w.fail(Snapshot, []string{q.id()}, "%v", err)
	case errors.Is(err, gather.ErrCoverage):
		h.w.fail(Coverage, []string{q.id()}, "%v", err)
	case err != nil:
		h.w.fail(Parts, []string{q.id()}, "%v", err)
	}
	if h.w.is(ClaimCoverage) {
		a.Coverage.Lacking = nil
	}
	if h.w.is(DropCoverage) && len(a.Coverage.Lacking) > 0 {
		a.Coverage.Lacking = a.Coverage.Lacking[1:]
	}
	if h.w.is(UnknownAsNotRun) && a.Outcome == yuccahinge.Partial && len(a.Hits) == 0 {
		a.Outcome = yuccahinge.NotRun
	}
	if a.Outcome == yuccahinge.Complete {
		h.poison.Clear(now, q.print)
	}
	h.w.check.answered(q, a)
	h.limit.Release(now, q.request.Service, now-q.arrived, now <= q.deadline)
	q.reply(a)
}

// refuse answers that nothing ran.
func (q *query) refuse(why yuccahinge.Reason) {
	h := q.host
	if q.admitted {
		h.limit.Release(h.w.now(), q.request.Service, h.w.now()-q.arrived, true)
	}
	h.note(q.id(), "refuses: %s", why)
	a := &yuccahinge.SearchAnswer{RequestID: q.request.RequestID, Outcome: yuccahinge.NotRun}
	h.w.check.swear(q.id(), "search")
	q.reply(a)
}

func (q *query) reply(a *yuccahinge.SearchAnswer) {
	h := q.host
	h.note(q.id(), "answers %s at ticket %d, covered %v, lacking %v", a.Outcome, a.Ticket, a.Coverage.Covered, a.Coverage.Lacking)
	h.w.check.count("search " + string(a.Outcome))
	h.release(q.id())
	h.w.send(callerPath, h.place(), callerPlace, nil, func() { q.answer(a) })
}

// Started implements yuccahinge.Observer.
func (h *host) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) { h.route.Started(now, id) }

// Ended implements yuccahinge.Observer.
func (h *host) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) {
	h.route.Ended(now, id, r)
}

// switchMaps is the wrong decision of SwitchMaps: queries under way go on with the new index.
func (h *host) switchMaps(s *yuccahinge.State) {
	for _, a := range h.attempts {
		if q := a.query; q != nil && !q.gather.Done() {
			q.gather.Index = h.ready.Choose(h.w.now(), q.request.Service, s.Services[q.request.Service])
			q.gather.Ticket = s.Ticket
		}
	}
}
