package world

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// attempt is one call from a host to a searcher, for a query or a charge.
type attempt struct {
	serial    int
	host      *host
	query     *query
	charge    *chargeRun
	id        yuccahinge.AttemptID
	searcher  *searcher
	request   yuccahinge.ShardRequest
	decidedAt yuccahinge.Millis
	sentAt    yuccahinge.Millis
	deadline  yuccahinge.Millis
	ended     bool
	canceled  bool
}

// replyGraceMs is how long after its deadline a charge waits for a reply.
const replyGraceMs = 1 * yuccahinge.Second

// launch sends an attempt to its searcher, unless it was canceled before.
func (h *host) launch(a *attempt) {
	w, s := h.w, a.searcher
	if a.canceled {
		a.end(yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonCanceled})
		return
	}
	a.sentAt = w.now()
	h.attempts = append(h.attempts, a)
	w.check.checkRate(h, s)
	h.note(a.key(), "sends attempt %d at shard %d to %s", a.id, a.request.Shard, s.id)
	w.queue.At(a.deadline, h, a.timeout)
	if !s.isAlive {
		w.refuseConnection(a)
		return
	}
	generation := s.generation
	w.send(queryPath, h.endpoint(), s.endpoint(), s, func() { s.receive(a, generation) })
}

// refuseConnection simulates a refused connection to a searcher that is down, which proves that the attempt did not run.
func (w *World) refuseConnection(a *attempt) {
	target := a.searcher.endpoint()
	w.send(queryPath, a.host.endpoint(), target, nil, func() {
		w.send(queryPath, target, a.host.endpoint(), a.host, func() {
			a.end(yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonUnreachable})
		})
	})
}

func (h *host) cancel(a *attempt) {
	if a.ended || a.canceled {
		return
	}
	a.canceled = true
	if a.sentAt == 0 {
		return
	}
	h.w.send(queryPath, h.endpoint(), a.searcher.endpoint(), a.searcher, func() { a.searcher.cancel(a) })
	a.end(yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonCanceled})
}

// end ends an attempt with a result. It does nothing if the attempt has ended.
func (a *attempt) end(r yuccahinge.ShardResult) {
	if a.ended {
		return
	}
	a.ended = true
	r.Latency = a.host.w.now() - a.sentAt
	a.deliver(r)
}

func (a *attempt) timeout() {
	if a.ended {
		a.host.w.uncountStep()
		return
	}
	a.end(yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonTimeout})
}

// deliver passes a result to the charge or query of the attempt.
func (a *attempt) deliver(r yuccahinge.ShardResult) {
	if a.host.w.hasBreak(UnknownAsNotRun) && r.Outcome == yuccahinge.Unknown {
		r.Outcome = yuccahinge.NotRun
	}
	a.host.note(a.key(), "attempt %d ends: %s %s", a.id, r.Outcome, r.Reason)
	a.host.observeResult(a, &r)
	if a.charge != nil {
		a.charge.attemptEnded(a, &r)
		return
	}
	a.query.attemptEnded(a.id, &r)
}

// observeResult processes what a reply reports about its searcher: its load, and whether it lacks an index version.
func (h *host) observeResult(a *attempt, r *yuccahinge.ShardResult) {
	if r.Reply == nil {
		return
	}
	h.w.check.recordTold(h, a.searcher, &r.Reply.Load)
	h.observeReport(a.sentAt, &r.Reply.Load)
	if r.Outcome == yuccahinge.NotRun && r.Reason == yuccahinge.ReasonVersionUnavailable {
		h.versions.RecordMissing(a.searcher.id, a.request.IndexVersion)
	}
}

// receive processes a result from a searcher. If it is late or a duplicate, and another query attempt waits for the same
// searcher, that attempt receives it, as on a connection whose replies are out of order.
func (h *host) receive(a *attempt, r yuccahinge.ShardResult, late bool) {
	if !late && !a.ended {
		a.end(r)
		return
	}
	h.w.check.count("late reply")
	if a.charge != nil {
		return
	}
	other := h.otherWaiting(a)
	if other == nil {
		a.query.attemptEnded(a.id, &r)
		return
	}
	if h.w.hasBreak(CountLateReply) && r.Reply != nil {
		forged := *r.Reply
		forged.RequestID = other.request.RequestID
		forged.Attempt = other.request.Attempt
		forged.Shard = other.request.Shard
		forged.IndexVersion = other.request.IndexVersion
		r.Reply = &forged
	}
	h.note(other.key(), "attempt %d receives a reply to %s", other.id, a.request.RequestID)
	other.end(r)
}

// otherWaiting returns another query attempt that waits for the same searcher, or nil.
func (h *host) otherWaiting(a *attempt) *attempt {
	for _, o := range h.attempts {
		if o != a && !o.ended && o.charge == nil && o.searcher == a.searcher {
			return o
		}
	}
	return nil
}

func (a *attempt) key() string {
	if a.charge != nil {
		return string(a.charge.claim)
	}
	return a.query.id()
}

// pruneAttempts drops the attempts that have ended.
func (h *host) pruneAttempts() {
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool { return a.ended })
}
