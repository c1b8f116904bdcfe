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
	host        *host
	request     yuccahinge.SearchRequest
	arrived     yuccahinge.Millis
	deadline    yuccahinge.Millis
	answer      func(*yuccahinge.SearchAnswer)
	fingerprint yuccahinge.Fingerprint
	gather      *gather.Gather
	calendar    *yuccahinge.Calendar
	attempts    map[yuccahinge.AttemptID]*attempt
	lost        bool
	admitted    bool
}

const (
	// compareTimeoutMs bounds the time for which queries wait for a comparison with peers after a pause of the host's process.
	compareTimeoutMs = 30
	// comparePeers is the number of hosts of the host's own domain that it compares its state with after its process was paused.
	comparePeers = 2
	// minTickDelayMs delays a tick that is overdue. Without it such a tick would run again without end at the same instant.
	minTickDelayMs = 0.01
	// ticketPollMs is the interval at which a query checks whether its minimum ticket is in force.
	ticketPollMs = 20
)

// search handles a search from a caller.
func (h *host) search(r yuccahinge.SearchRequest, answer func(*yuccahinge.SearchAnswer)) {
	now := h.w.now()
	q := &query{host: h, request: r, arrived: now, deadline: now + r.DeadlineMs, answer: answer}
	q.fingerprint = yuccahinge.Fingerprint(xxhash.Sum64String(string(r.Service) + "\x00" + string(r.Query)))
	q.attempts = make(map[yuccahinge.AttemptID]*attempt)
	h.accept(q.id(), "search")
	q.admit()
}

// waitForCompare delays a query until the host, whose process was paused, has compared its state with a peer.
func (h *host) waitForCompare(q *query) {
	h.waitingQueries = append(h.waitingQueries, q)
	if len(h.waitingQueries) == 1 {
		h.startCompare()
	}
}

// startCompare starts a comparison with peers, which ends after compareTimeoutMs if no peer replies.
func (h *host) startCompare() {
	began := h.w.now()
	for i, id := range h.node.SamplePeers(comparePeers) {
		h.exchange(id)
		if i == 0 {
			h.compareRows(id, true)
		}
	}
	h.after(compareTimeoutMs, func() { h.endCompare(began) })
}

// endCompare ends the comparison and admits the waiting queries. It does nothing if the call that ends it was sent before
// the host detected that its process had been paused.
func (h *host) endCompare(sentAt yuccahinge.Millis) {
	if sentAt < h.pauseDetectedAt {
		return
	}
	h.needsCompare = false
	waiting := h.waitingQueries
	h.waitingQueries = nil
	for _, q := range waiting {
		q.admit()
	}
}

func (q *query) id() string { return string(q.request.RequestID) }

// admit waits for a pending comparison and for the minimum ticket of the request, and then admits or refuses the query.
func (q *query) admit() {
	h, now := q.host, q.host.w.now()
	h.detectPause(now)
	h.firstQuerySince(h.pausedUntil, q.arrived)
	if h.needsCompare {
		h.waitForCompare(q)
		return
	}
	if h.node.Number() < q.request.MinTicket && !h.w.hasBreak(IgnoreMinTicket) {
		if now-q.arrived > q.request.DeadlineMs/2 {
			q.refuse(yuccahinge.ReasonNotRun)
			return
		}
		if now == q.arrived {
			for _, id := range h.node.SamplePeers(pushFanOut) {
				h.exchange(id)
			}
		}
		h.after(ticketPollMs, q.admit)
		return
	}
	if h.state() == nil || !h.limiter.Admit(now, q.request.Service) {
		q.refuse(yuccahinge.ReasonShed)
		return
	}
	q.admitted = true
	verdict := h.quarantine.Check(now, q.fingerprint)
	if verdict == poison.Confirmed || verdict == poison.Cooldown {
		q.refuse(yuccahinge.ReasonPoisoned)
		return
	}
	q.pin(verdict)
}

// pin fixes the state that the query uses to its end, and sends the first attempts.
func (q *query) pin(verdict poison.Verdict) {
	h, now := q.host, q.host.w.now()
	state := h.state()
	service := state.Services[q.request.Service]
	q.calendar = state.Calendars[service.Calendar]
	ix := h.versions.Choose(now, q.request.Service, service)
	h.w.check.checkPin(q, state)
	q.gather = &gather.Gather{
		Request: q.request.RequestID, Service: q.request.Service, Ticket: state.Ticket, Index: ix,
		Deadline: q.deadline, SoftDeadline: q.softDeadline(), EnoughCoverage: 0.6,
		Domain: h.domain, Canary: !h.quarantine.Proven(q.fingerprint),
		Suspect: verdict == poison.Suspect, SuspectShard: h.quarantine.LostShard(q.fingerprint),
		Picker: h.balancer, Hedger: &h.hedger, LatencyRecorder: &h.hedger, Observer: h,
		RetryBudget: &h.retryBudget, HedgeBudget: &h.hedgeBudget, OnConnectionLost: q.connectionLost,
	}
	h.note(q.id(), "pins ticket %d, index version %d, %s", state.Ticket, ix.Version, verdict)
	q.perform(q.gather.Start(now))
}

// softDeadline returns the time from which the query may answer with partial coverage, or 0. Queries whose id has an even
// length have one.
func (q *query) softDeadline() yuccahinge.Millis {
	if len(q.id())%2 == 0 {
		return q.arrived + 60
	}
	return 0
}

// perform carries out the actions of the gather package, each as a step of its own.
func (q *query) perform(actions []gather.Action) {
	h := q.host
	for _, action := range actions {
		switch action.Kind {
		case gather.Send:
			a := q.newAttempt(action)
			h.after(0, func() { h.launch(a) })
		case gather.Cancel:
			a := q.attempts[action.Attempt]
			h.after(0, func() { h.cancel(a) })
		case gather.Finish:
			q.finish()
			return
		}
	}
	if at, ok := q.gather.NextTick(); ok {
		h.w.queue.At(max(at, h.w.now()+minTickDelayMs), h, q.tick)
	}
}

// tick passes the time to the gather package if its next tick is due, and does nothing if an earlier call has done so.
func (q *query) tick() {
	now := q.host.w.now()
	at, ok := q.gather.NextTick()
	if !ok || at > now {
		q.host.w.uncountStep()
		return
	}
	q.perform(q.gather.Tick(now))
}

func (q *query) newAttempt(action gather.Action) *attempt {
	h := q.host
	h.lastSerial++
	a := &attempt{
		serial: h.lastSerial, host: h, query: q, id: action.Attempt, searcher: h.w.searchers[action.Searcher],
		decidedAt: h.w.now(), deadline: action.Deadline,
		request: yuccahinge.ShardRequest{
			RequestID: q.request.RequestID, Attempt: action.Attempt, Service: q.request.Service, Shard: action.Shard,
			IndexVersion: q.gather.Index.Version, Ticket: q.gather.Ticket,
			Query: q.request.Query, Calendar: q.calendar, DeadlineMs: action.Deadline - h.w.now(),
		},
	}
	h.w.check.count("attempt " + string(action.Cause))
	h.w.check.checkSend(a)
	q.attempts[action.Attempt] = a
	return a
}

// connectionLost records a lost connection with the poison package and reports whether the query is a confirmed poison
// query.
func (q *query) connectionLost(now yuccahinge.Millis, shard yuccahinge.ShardID, id yuccahinge.SearcherID, proven bool) bool {
	h := q.host
	verdict, announce := h.quarantine.RecordLoss(now, poison.Loss{
		Query: q.fingerprint, Request: q.request.RequestID, Shard: shard, Searcher: id, OthersReplied: proven,
	})
	if announce {
		h.publishNotice(h.quarantine.Notice(q.fingerprint, verdict, shard))
	}
	if verdict != poison.Confirmed {
		return false
	}
	h.w.check.count("query quarantined")
	return true
}

// attemptEnded processes the result of an attempt.
func (q *query) attemptEnded(id yuccahinge.AttemptID, r *yuccahinge.ShardResult) {
	if r.Reply != nil {
		q.host.quarantine.RecordReply(q.attempts[id].searcher.id)
	}
	q.perform(q.gather.HandleResult(q.host.w.now(), id, r))
}

// finish builds the answer, checks it and sends it to the caller.
func (q *query) finish() {
	h, now := q.host, q.host.w.now()
	if q.gather.Poisoned() {
		h.limiter.Release(now, q.request.Service, now-q.arrived, true)
		q.reply(&yuccahinge.SearchAnswer{RequestID: q.request.RequestID, Outcome: yuccahinge.Unknown})
		return
	}
	a, _, err := q.gather.Answer()
	switch {
	case errors.Is(err, gather.ErrForeignReply):
		h.w.fail(Snapshot, []string{q.id()}, "%v", err)
	case errors.Is(err, gather.ErrCoverage):
		h.w.fail(Coverage, []string{q.id()}, "%v", err)
	case err != nil:
		h.w.fail(NoPartFailure, []string{q.id()}, "%v", err)
	}
	if h.w.hasBreak(ClaimCoverage) {
		a.Coverage.Lacking = nil
	}
	if h.w.hasBreak(DropCoverage) && len(a.Coverage.Lacking) > 0 {
		a.Coverage.Lacking = a.Coverage.Lacking[1:]
	}
	if h.w.hasBreak(UnknownAsNotRun) && a.Outcome == yuccahinge.Partial && len(a.Hits) == 0 {
		a.Outcome = yuccahinge.NotRun
	}
	if a.Outcome == yuccahinge.Complete {
		h.quarantine.RecordComplete(now, q.fingerprint)
	}
	h.w.check.checkAnswer(q, a)
	h.limiter.Release(now, q.request.Service, now-q.arrived, now <= q.deadline)
	q.reply(a)
}

// refuse answers with outcome notRun.
func (q *query) refuse(reason yuccahinge.Reason) {
	h := q.host
	if q.admitted {
		h.limiter.Release(h.w.now(), q.request.Service, h.w.now()-q.arrived, true)
	}
	h.note(q.id(), "refuses: %s", reason)
	a := &yuccahinge.SearchAnswer{RequestID: q.request.RequestID, Outcome: yuccahinge.NotRun}
	h.w.check.recordNotRun(q.id(), "search")
	q.reply(a)
}

func (q *query) reply(a *yuccahinge.SearchAnswer) {
	h := q.host
	h.note(q.id(), "answers %s at ticket %d, covered %v, lacking %v", a.Outcome, a.Ticket, a.Coverage.Covered, a.Coverage.Lacking)
	h.w.check.count("search " + string(a.Outcome))
	h.release(q.id())
	h.w.send(callerPath, h.endpoint(), callerEndpoint, nil, func() { q.answer(a) })
}

// Started implements yuccahinge.AttemptObserver.
func (h *host) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) { h.balancer.Started(now, id) }

// Ended implements yuccahinge.AttemptObserver.
func (h *host) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) {
	h.balancer.Ended(now, id, r)
}

// switchMaps implements SwitchMaps: running queries go on with the index of the new ticket.
func (h *host) switchMaps(s *yuccahinge.State) {
	for _, a := range h.attempts {
		if q := a.query; q != nil && !q.gather.Done() {
			q.gather.Index = h.versions.Choose(h.w.now(), q.request.Service, s.Services[q.request.Service])
			q.gather.Ticket = s.Ticket
		}
	}
}
