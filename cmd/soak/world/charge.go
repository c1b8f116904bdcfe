package world

import (
	"errors"
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/claim"
	"github.com/yuccahinge/yuccahinge/rendez"
	"github.com/yuccahinge/yuccahinge/token"
)

// chargeRun is a charge that a host has started to run.
type chargeRun struct {
	host     *host
	claim    yuccahinge.ClaimID
	key      string
	deadline yuccahinge.Millis
	tried    []yuccahinge.SearcherID
	inFlight int
	waiters  []func(yuccahinge.ChargeAnswer)
	isDone   bool
}

const (
	grantTimeoutMs = 300
	maxAttempts    = 3
)

// grantResult is the answer of a host to a request for a claim.
type grantResult struct {
	grant yuccahinge.ClaimGrant
	err   error
}

// chargeResult is the answer of a host to a charge.
type chargeResult struct {
	answer yuccahinge.ChargeAnswer
	err    error
}

// grant handles a request for a claim. The first live host in the rendezvous order of the key owns the claim.
func (h *host) grant(r yuccahinge.ClaimRequest, answer func(grantResult)) {
	id := h.ownerOf(r)
	own := func() {
		g, err := h.claims.Grant(h.w.now(), r)
		answer(grantResult{g, err})
	}
	if id == h.id {
		own()
		return
	}
	serve := func(to *host, reply func(any)) {
		g, err := to.claims.Grant(to.w.now(), r)
		reply(grantResult{g, err})
	}
	h.call(id, grantTimeoutMs, serve, func(reply any) {
		if g, ok := reply.(grantResult); ok {
			answer(g)
			return
		}
		own()
	})
}

func (h *host) ownerOf(r yuccahinge.ClaimRequest) yuccahinge.HostID {
	var ids []string
	for _, m := range h.roster.Members() {
		if m.Status == yuccahinge.StatusLive {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return h.id
	}
	return yuccahinge.HostID(rendez.Order(string(r.Service)+"\x00"+r.Key, ids)[0])
}

// charge handles a charge from a caller, on this host or by forwarding it to the owner of its claim.
func (h *host) charge(r yuccahinge.ChargeRequest, answer func(chargeResult)) {
	work := fmt.Sprintf("%s@%s", r.RequestID, h.id)
	h.accept(work, "charge")
	done := func(c chargeResult) {
		h.release(work)
		h.note(string(r.Claim), "answers %s: %s %s %v", r.RequestID, c.answer.Outcome, c.answer.Reason, c.err)
		h.w.check.checkChargeAnswer(r.Claim, c)
		h.w.send(callerPath, h.endpoint(), callerEndpoint, nil, func() { answer(c) })
	}
	k, err := token.Parse(r.Claim)
	if err != nil {
		done(chargeResult{err: err})
		return
	}
	if k.Owner == h.id {
		h.chargeAsOwner(r, done)
		return
	}
	h.forward(k.Owner, r, done)
}

// forward forwards a charge to the owner of its claim. Without a reply from the owner the outcome is unknown.
func (h *host) forward(owner yuccahinge.HostID, r yuccahinge.ChargeRequest, done func(chargeResult)) {
	unknown := func(reason yuccahinge.Reason) {
		if h.w.hasBreak(RunForeignClaim) {
			h.chargeUnowned(r, done)
			return
		}
		done(chargeResult{answer: yuccahinge.ChargeAnswer{Claim: r.Claim, Outcome: yuccahinge.Unknown, Reason: reason}})
	}
	if _, ok := h.roster.Find(owner); !ok {
		unknown(yuccahinge.ReasonOwnerLost)
		return
	}
	serve := func(to *host, reply func(any)) {
		to.chargeAsOwner(r, func(c chargeResult) { reply(c) })
	}
	h.call(owner, r.DeadlineMs, serve, func(reply any) {
		if c, ok := reply.(chargeResult); ok {
			done(c)
			return
		}
		unknown(yuccahinge.ReasonUnreachable)
	})
}

// chargeAsOwner runs a charge under a claim that this host owns, or answers with its known outcome.
func (h *host) chargeAsOwner(r yuccahinge.ChargeRequest, done func(chargeResult)) {
	d := h.claims.Begin(h.w.now(), r.Claim, r.Service, yuccahinge.BodyDigest(r.Body))
	h.note(string(r.Claim), "owner decides on %s: %s %s", r.RequestID, d.Verdict, d.Answer.Outcome)
	switch d.Verdict {
	case claim.Refuse:
		if h.w.hasBreak(RunForgottenClaim) && errors.Is(d.Err, claim.ErrNotGranted) {
			h.chargeUnowned(r, done)
			return
		}
		done(chargeResult{err: d.Err})
	case claim.Replay:
		if h.w.hasBreak(RetryUnknown) && d.Answer.Outcome == yuccahinge.Unknown || h.w.hasBreak(RunForgottenClaim) && d.Answer.Reason == yuccahinge.ReasonOwnerLost {
			h.chargeUnowned(r, done)
			return
		}
		done(chargeResult{answer: d.Answer})
	case claim.Wait:
		c := h.runs[r.Claim]
		if c == nil {
			h.w.fail(NoPartFailure, []string{string(r.Claim)}, "the claim table reports the claim as running, but no charge runs for it")
			return
		}
		c.waiters = append(c.waiters, chargeAnswerer(done))
	case claim.Start:
		h.begin(r, d.Key, done)
	}
}

func chargeAnswerer(done func(chargeResult)) func(yuccahinge.ChargeAnswer) {
	return func(a yuccahinge.ChargeAnswer) { done(chargeResult{answer: a}) }
}

// begin starts to run a charge.
func (h *host) begin(r yuccahinge.ChargeRequest, key string, done func(chargeResult)) {
	c := &chargeRun{host: h, claim: r.Claim, key: key, deadline: h.w.now() + r.DeadlineMs}
	c.waiters = append(c.waiters, chargeAnswerer(done))
	h.runs[r.Claim] = c
	h.chargeStartedAt = h.w.now()
	h.accept(c.workKey(), "run")
	c.sendNext(yuccahinge.ReasonUnreachable)
}

// chargeUnowned runs a charge that this host must not run. Only breaks call it.
func (h *host) chargeUnowned(r yuccahinge.ChargeRequest, done func(chargeResult)) {
	if c := h.runs[r.Claim]; c != nil && !c.isDone {
		c.waiters = append(c.waiters, chargeAnswerer(done))
		return
	}
	h.begin(r, "taken", done)
}

func (c *chargeRun) workKey() string { return "run " + string(c.claim) }

// sendNext sends the charge to another searcher. It is called only if no earlier attempt can have run.
func (c *chargeRun) sendNext(reason yuccahinge.Reason) {
	h, now := c.host, c.host.w.now()
	if now >= c.deadline {
		c.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonTimeout})
		return
	}
	if h.state() == nil {
		c.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonUnreachable})
		return
	}
	ix := &h.state().Services[chargeService].Index
	id, ok := h.balancer.Pick(now, ix, &ix.Shards[0], c.tried)
	if !ok || len(c.tried) == maxAttempts {
		c.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: reason})
		return
	}
	c.send(id)
	if h.w.hasBreak(HedgeCharge) {
		h.after(20, func() { c.hedge(ix) })
	}
}

func (c *chargeRun) send(id yuccahinge.SearcherID) {
	h := c.host
	c.tried = append(c.tried, id)
	c.inFlight++
	h.lastSerial++
	a := &attempt{serial: h.lastSerial, host: h, charge: c, searcher: h.w.searchers[id], decidedAt: h.w.now(), deadline: c.deadline + replyGraceMs}
	a.request = yuccahinge.ShardRequest{RequestID: yuccahinge.RequestID(c.claim), Service: chargeService}
	h.w.check.checkSend(a)
	h.balancer.Started(h.w.now(), id)
	h.after(0, func() { h.launch(a) })
}

// hedge implements HedgeCharge: it sends a slow charge to a second searcher.
func (c *chargeRun) hedge(ix *yuccahinge.Index) {
	if c.isDone || c.inFlight == 0 {
		return
	}
	if id, ok := c.host.balancer.Pick(c.host.w.now(), ix, &ix.Shards[0], c.tried); ok {
		c.send(id)
	}
}

// attemptEnded processes the result of an attempt: it retries what has not run, and ends the charge otherwise.
func (c *chargeRun) attemptEnded(a *attempt, r *yuccahinge.ShardResult) {
	h := c.host
	c.inFlight--
	h.Ended(h.w.now(), a.searcher.id, r)
	if c.isDone {
		return
	}
	switch r.Outcome {
	case yuccahinge.NotRun:
		c.sendNext(r.Reason)
	case yuccahinge.Ran:
		c.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran})
	default:
		c.finish(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown, Reason: r.Reason})
	}
}

func (c *chargeRun) finish(a yuccahinge.ChargeAnswer) {
	h := c.host
	c.isDone = true
	a.Claim = c.claim
	err := h.claims.End(h.w.now(), c.claim, a)
	if err != nil && !h.w.hasAnyBreak() {
		h.w.fail(NoPartFailure, []string{string(c.claim)}, "%v", err)
	}
	delete(h.runs, c.claim)
	h.release(c.workKey())
	for _, answer := range slices.Clone(c.waiters) {
		answer(a)
	}
}
