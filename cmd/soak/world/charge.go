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

// run is a charge that its owner has started.
type run struct {
	host     *host
	claim    yuccahinge.ClaimID
	key      string
	deadline yuccahinge.Millis
	tried    []yuccahinge.SearcherID
	open     int
	waiting  []func(yuccahinge.ChargeAnswer)
	isDone   bool
}

const (
	grantTimeoutMs = 300
	maxAttempts    = 3
)

// grantResult and chargeResult are what a host says of a claim.
type grantResult struct {
	grant yuccahinge.ClaimGrant
	err   error
}

type chargeResult struct {
	answer yuccahinge.ChargeAnswer
	err    error
}

// grant takes a request for a claim, which the first live host in the key's order owns.
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

// charge takes a charge from a caller and answers it, here or by the owner of its claim.
func (h *host) charge(r yuccahinge.ChargeRequest, answer func(chargeResult)) {
	work := fmt.Sprintf("%s@%s", r.RequestID, h.id)
	h.accept(work, "charge")
	done := func(c chargeResult) {
		h.release(work)
		h.note(string(r.Claim), "answers %s: %s %s %v", r.RequestID, c.answer.Outcome, c.answer.Reason, c.err)
		h.w.check.chargeAnswered(r.Claim, c)
		h.w.send(callerPath, h.place(), callerPlace, nil, func() { answer(c) })
	}
	k, err := token.Parse(r.Claim)
	if err != nil {
		done(chargeResult{err: err})
		return
	}
	if k.Owner == h.id {
		h.own(r, done)
		return
	}
	h.forward(k.Owner, r, done)
}

// forward passes a charge on to its owner. Without the owner's word the outcome is unknown.
func (h *host) forward(owner yuccahinge.HostID, r yuccahinge.ChargeRequest, done func(chargeResult)) {
	unknown := func(why yuccahinge.Reason) {
		if h.w.is(MoveClaim) {
			h.take(r, done)
			return
		}
		done(chargeResult{answer: yuccahinge.ChargeAnswer{Claim: r.Claim, Outcome: yuccahinge.Unknown, Reason: why}})
	}
	if _, ok := h.roster.Find(owner); !ok {
		unknown(yuccahinge.ReasonOwnerLost)
		return
	}
	serve := func(to *host, reply func(any)) {
		to.own(r, func(c chargeResult) { reply(c) })
	}
	h.call(owner, r.DeadlineMs, serve, func(reply any) {
		if c, ok := reply.(chargeResult); ok {
			done(c)
			return
		}
		unknown(yuccahinge.ReasonUnreachable)
	})
}

// own runs a charge under a claim of this host, or answers what is known of it.
func (h *host) own(r yuccahinge.ChargeRequest, done func(chargeResult)) {
	d := h.claims.Begin(h.w.now(), r.Claim, r.Service, yuccahinge.BodyDigest(r.Body))
	h.note(string(r.Claim), "owner decides on %s: %s %s", r.RequestID, d.Verdict, d.Answer.Outcome)
	switch d.Verdict {
	case claim.Refuse:
		if h.w.is(RunForgottenClaim) && errors.Is(d.Err, claim.ErrNotGranted) {
			h.take(r, done)
			return
		}
		done(chargeResult{err: d.Err})
	case claim.Repeat:
		if h.w.is(RetryUnknown) && d.Answer.Outcome == yuccahinge.Unknown || h.w.is(RunForgottenClaim) && d.Answer.Reason == yuccahinge.ReasonOwnerLost {
			h.take(r, done)
			return
		}
		done(chargeResult{answer: d.Answer})
	case claim.Wait:
		c := h.runs[r.Claim]
		if c == nil {
			h.w.fail(Parts, []string{string(r.Claim)}, "the table says that the claim runs, and nothing runs")
			return
		}
		c.waiting = append(c.waiting, answers(done))
	case claim.Start:
		h.begin(r, d.Key, done)
	}
}

func answers(done func(chargeResult)) func(yuccahinge.ChargeAnswer) {
	return func(a yuccahinge.ChargeAnswer) { done(chargeResult{answer: a}) }
}

// begin starts the run of a charge.
func (h *host) begin(r yuccahinge.ChargeRequest, key string, done func(chargeResult)) {
	c := &run{host: h, claim: r.Claim, key: key, deadline: h.w.now() + r.DeadlineMs}
	c.waiting = append(c.waiting, answers(done))
	h.runs[r.Claim] = c
	h.ranAt = h.w.now()
	h.accept(c.work(), "run")
	c.next(yuccahinge.ReasonUnreachable)
}

// take runs a charge that is not this host's to run, which is what some breaks do.
func (h *host) take(r yuccahinge.ChargeRequest, done func(chargeResult)) {
	if c := h.runs[r.Claim]; c != nil && !c.isDone {
		c.waiting = append(c.waiting, answers(done))
		return
	}
	h.begin(r, "taken", done)
}

func (c *run) work() string { return "run " + string(c.claim) }

// next offers the charge to another searcher, as long as it is proved that it did not run.
func (c *run) next(why yuccahinge.Reason) {
	h, now := c.host, c.host.w.now()
	if now >= c.deadline {
		c.end(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonTimeout})
		return
	}
	if h.state() == nil {
		c.end(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonUnreachable})
		return
	}
	ix := &h.state().Services[chargeService].Index
	id, ok := h.route.Pick(now, ix, &ix.Shards[0], c.tried)
	if !ok || len(c.tried) == maxAttempts {
		c.end(yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: why})
		return
	}
	c.send(id)
	if h.w.is(HedgeCharge) {
		h.after(20, func() { c.hedge(ix) })
	}
}

func (c *run) send(id yuccahinge.SearcherID) {
	h := c.host
	c.tried = append(c.tried, id)
	c.open++
	h.serial++
	a := &attempt{serial: h.serial, host: h, charge: c, searcher: h.w.searchers[id], decided: h.w.now(), deadline: c.deadline + settleMs}
	a.request = yuccahinge.ShardRequest{RequestID: yuccahinge.RequestID(c.claim), Service: chargeService}
	h.w.check.decided(a)
	h.route.Started(h.w.now(), id)
	h.after(0, func() { h.launch(a) })
}

// hedge is the wrong decision of HedgeCharge: a slow charge is sent to another searcher too.
func (c *run) hedge(ix *yuccahinge.Index) {
	if c.isDone || c.open == 0 {
		return
	}
	if id, ok := c.host.route.Pick(c.host.w.now(), ix, &ix.Shards[0], c.tried); ok {
		c.send(id)
	}
}

// ended takes the end of an attempt.
func (c *run) ended(a *attempt, r *yuccahinge.ShardResult) {
	h := c.host
	c.open--
	h.Ended(h.w.now(), a.searcher.id, r)
	if c.isDone {
		return
	}
	switch r.Outcome {
	case yuccahinge.NotRun:
		c.next(r.Reason)
	case yuccahinge.Ran:
		c.end(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran})
	default:
		c.end(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown, Reason: r.Reason})
	}
}

func (c *run) end(a yuccahinge.ChargeAnswer) {
	h := c.host
	c.isDone = true
	a.Claim = c.claim
	err := h.claims.End(h.w.now(), c.claim, a)
	if err != nil && !h.w.broken() {
		h.w.fail(Parts, []string{string(c.claim)}, "%v", err)
	}
	delete(h.runs, c.claim)
	h.release(c.work())
	for _, answer := range slices.Clone(c.waiting) {
		answer(a)
	}
}
