package world

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// attempt is one call of a host at a searcher, of a query or of a charge.
type attempt struct {
	serial   int
	host     *host
	query    *query
	charge   *run
	id       yuccahinge.AttemptID
	searcher *searcher
	request  yuccahinge.ShardRequest
	decided  yuccahinge.Millis
	sentAt   yuccahinge.Millis
	deadline yuccahinge.Millis
	ended    bool
	canceled bool
}

// settleMs is the time beyond its deadline for which a charge's reply is awaited.
const settleMs = 1 * yuccahinge.Second

// launch sends an attempt to its searcher.
func (h *host) launch(a *attempt) {
	w, s := h.w, a.searcher
	if a.canceled {
		a.end(yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonCanceled})
		return
	}
	a.sentAt = w.now()
	h.attempts = append(h.attempts, a)
	h.note(a.key(), "sends attempt %d at shard %d to %s", a.id, a.request.Shard, s.id)
	w.queue.At(a.deadline, h, a.timeout)
	if !s.alive {
		w.refuseConnection(a)
		return
	}
	life := s.life
	w.send(queryPath, h.place(), s.place(), s, func() { s.receive(a, life) })
}

// refuseConnection brings back that nobody listens, which proves that the attempt did not run.
func (w *World) refuseConnection(a *attempt) {
	there := a.searcher.place()
	w.send(queryPath, a.host.place(), there, nil, func() {
		w.send(queryPath, there, a.host.place(), a.host, func() {
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
	h.w.send(queryPath, h.place(), a.searcher.place(), a.searcher, func() { a.searcher.cancel(a) })
	a.end(yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonCanceled})
}

// end ends an attempt once.
func (a *attempt) end(r yuccahinge.ShardResult) {
	if a.ended {
		return
	}
	a.ended = true
	r.Latency = a.host.w.now() - a.sentAt
	a.pass(r)
}

func (a *attempt) timeout() {
	if a.ended {
		a.host.w.idle()
		return
	}
	a.end(yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonTimeout})
}

// pass hands a result to the part that waits for it.
func (a *attempt) pass(r yuccahinge.ShardResult) {
	if a.host.w.is(UnknownAsNotRun) && r.Outcome == yuccahinge.Unknown {
		r.Outcome = yuccahinge.NotRun
	}
	a.host.note(a.key(), "attempt %d ends: %s %s", a.id, r.Outcome, r.Reason)
	a.host.learnFrom(a, &r)
	if a.charge != nil {
		a.charge.ended(a, &r)
		return
	}
	a.query.ended(a.id, &r)
}

// learnFrom takes what a result says of its searcher.
func (h *host) learnFrom(a *attempt, r *yuccahinge.ShardResult) {
	if r.Reply == nil {
		return
	}
	h.learn(a.sentAt, &r.Reply.Load)
	if r.Outcome == yuccahinge.NotRun && r.Reason == yuccahinge.ReasonVersion {
		h.ready.Lacks(a.searcher.id, a.request.IndexVersion)
	}
}

// receive takes what comes back from a searcher. What comes late or a second time reaches, now and then, whatever
// attempt waits at that searcher, as on a connection whose replies are out of step.
func (h *host) receive(a *attempt, r yuccahinge.ShardResult, late bool) {
	if !late && !a.ended {
		a.end(r)
		return
	}
	h.w.check.count("late reply")
	if a.charge != nil {
		return
	}
	other := h.waiting(a)
	if other == nil {
		a.query.ended(a.id, &r)
		return
	}
	if h.w.is(CountLateReply) && r.Reply != nil {
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

// waiting returns another attempt that waits at the same searcher, or nil.
func (h *host) waiting(a *attempt) *attempt {
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

// forgetAttempts drops attempts that ended.
func (h *host) forgetAttempts() {
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool { return a.ended })
}
