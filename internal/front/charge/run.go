package charge

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// run is a charge that this host has started. It continues when the caller disconnects.
type run struct {
	request *yuccahinge.ChargeRequest
	key     string
	// deadline is the time from which no attempt of the charge starts.
	deadline yuccahinge.Millis
	ended    chan struct{}
	// mayHaveRun is set when an attempt starts, and cleared if a result proves that the attempt did not run.
	mayHaveRun bool
	// answer may be read only after ended is closed.
	answer yuccahinge.ChargeAnswer
}

// execute runs the charge, stores its outcome in the claim table and closes r.ended.
func (c *Coordinator) execute(ctx context.Context, r *run) {
	r.answer = c.tryReplicas(ctx, r)
	r.answer.RequestID = r.request.RequestID
	r.answer.Claim = r.request.Claim
	r.answer.State = stateDone

	c.mu.Lock()
	err := c.table.End(c.Clock.Now(), r.request.Claim, r.answer)
	delete(c.runs, r.request.Claim)
	c.mu.Unlock()

	if err != nil {
		c.record(event.InvariantBroken, r.request, "", "run ended for a claim that is not running")
	}
	c.record(event.ChargeEnded, r.request, "", string(r.answer.Outcome)+" "+string(r.answer.Reason))
	close(r.ended)
}

// tryReplicas tries one searcher of the shard after another, up to maxAttempts. It tries the next only after proof
// that the last one did not run the charge.
func (c *Coordinator) tryReplicas(ctx context.Context, r *run) yuccahinge.ChargeAnswer {
	state, _ := c.States.State()
	ix, reason := findIndex(state, r.request.Service)
	if ix == nil {
		return notRun(reason)
	}
	shard := shardOf(ix, r.key)
	if shard == nil {
		return notRun(yuccahinge.ReasonRefused)
	}
	send := func() error { return nil }
	if c.Flights != nil {
		tracked, request, err := c.Flights.Start(ctx, r.request.RequestID, yuccahinge.RouteName(r.request.Service), r.deadline+replyGrace)
		if err != nil {
			return notRun(yuccahinge.ReasonDraining)
		}
		defer request.Finish()
		ctx, send = tracked, request.Send
	}
	reason = yuccahinge.ReasonUnreachable
	var tried []yuccahinge.SearcherID
	for len(tried) < maxAttempts {
		now := c.Clock.Now()
		if now >= r.deadline {
			return notRun(yuccahinge.ReasonTimeout)
		}
		id, ok := c.Picker.Pick(now, ix, shard, tried)
		if !ok || ix.Searchers[id] == nil {
			break
		}
		if send() != nil {
			return notRun(yuccahinge.ReasonDraining)
		}
		tried = append(tried, id)
		result := c.attempt(ctx, r, id, ix.Searchers[id], state.Ticket)
		if result.Outcome != yuccahinge.NotRun {
			return answerOf(&result)
		}
		reason = result.Reason
	}
	return notRun(reason)
}

// attempt sends the charge to one searcher. It sends nothing if an earlier attempt may have run the charge.
func (c *Coordinator) attempt(ctx context.Context, r *run, id yuccahinge.SearcherID, s *yuccahinge.Searcher, ticket yuccahinge.TicketNumber) yuccahinge.ChargeResult {
	if r.mayHaveRun {
		c.record(event.InvariantBroken, r.request, id, "second attempt without proof that the first did not run")
		return yuccahinge.ChargeResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonRefused}
	}
	r.mayHaveRun = true
	start := c.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (r.deadline - start + replyGrace).Duration())
	defer cancel()
	c.record(event.ChargeSent, r.request, id, "")
	c.observeStart(start, id)
	result := c.Caller.Charge(ctx, id, s, &yuccahinge.ChargeCall{
		RequestID:  r.request.RequestID,
		Service:    r.request.Service,
		Claim:      r.request.Claim,
		Key:        r.key,
		Ticket:     ticket,
		Body:       r.request.Body,
		DeadlineMs: r.deadline - start,
	})
	r.mayHaveRun = result.Outcome != yuccahinge.NotRun
	c.observeEnd(start, id, &result)
	return result
}

func (c *Coordinator) observeStart(now yuccahinge.Millis, id yuccahinge.SearcherID) {
	if c.Observer != nil {
		c.Observer.Started(now, id)
	}
}

func (c *Coordinator) observeEnd(start yuccahinge.Millis, id yuccahinge.SearcherID, result *yuccahinge.ChargeResult) {
	if c.Observer == nil {
		return
	}
	now := c.Clock.Now()
	r := yuccahinge.ShardResult{Outcome: result.Outcome, Reason: result.Reason, Latency: now - start, Err: result.Err}
	if result.Reply != nil {
		r.Reply = &yuccahinge.ShardReply{Outcome: result.Outcome, Reason: result.Reason, Load: result.Reply.Load}
	}
	c.Observer.Ended(now, id, &r)
}

// findIndex returns the index of the charge service, or nil and the reason why the charge can't run.
func findIndex(state *yuccahinge.State, name yuccahinge.ServiceName) (*yuccahinge.Index, yuccahinge.Reason) {
	if state == nil {
		return nil, yuccahinge.ReasonUnreachable
	}
	service := state.Services[name]
	if service == nil || service.Kind != yuccahinge.KindCharge {
		return nil, yuccahinge.ReasonRefused
	}
	return &service.Index, ""
}

func notRun(reason yuccahinge.Reason) yuccahinge.ChargeAnswer {
	return yuccahinge.ChargeAnswer{Outcome: yuccahinge.NotRun, Reason: reason}
}

// answerOf returns the answer for a result whose outcome is Ran or Unknown.
func answerOf(r *yuccahinge.ChargeResult) yuccahinge.ChargeAnswer {
	if r.Outcome == yuccahinge.Ran && r.Reply != nil {
		return yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: r.Reply.Result}
	}
	return yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown, Reason: r.Reason}
}
