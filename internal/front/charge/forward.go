package charge

import (
	"context"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// maxForwardCalls is the maximum number of calls to the owner for one charge. Retries are safe, since the owner
	// starts a claim once. Several calls in a row can fail: after a network cut, each idle connection to the owner is
	// broken.
	maxForwardCalls = 6
	// initialBackoff is the wait before the second call to the owner of a claim. It doubles with each further call.
	initialBackoff = 10 * time.Millisecond
)

// forwardTracked forwards a charge, unless the reply of the owner could arrive after the shutdown of this host. The same
// charge may be sent to another host then; its outcome is unknown here, as another host may have forwarded it before.
func (c *Coordinator) forwardTracked(ctx context.Context, owner yuccahinge.HostID, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	if c.Flights == nil {
		return c.forward(ctx, owner, r)
	}
	ctx, request, err := c.Flights.Start(ctx, r.RequestID, yuccahinge.RouteName(r.Service), c.Clock.Now()+r.DeadlineMs)
	if err == nil {
		defer request.Finish()
		err = request.Send()
	}
	if err != nil {
		return nil, c.recordRefusal(r, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepDrain, Message: "the host shuts down before the charge would have to end", Outcome: yuccahinge.Unknown})
	}
	return c.forward(ctx, owner, r)
}

// forward sends a charge to the owner of its claim. If no call succeeds the outcome is unknown, even if this host sent
// nothing: the same claim may have reached the owner through another host.
func (c *Coordinator) forward(ctx context.Context, owner yuccahinge.HostID, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	m, ok := c.Membership.Find(owner)
	if !ok {
		return unknownAnswer(r, yuccahinge.ReasonOwnerLost), nil
	}
	start := c.Clock.Now()
	call := *r
	for n := range maxForwardCalls {
		backoff(ctx, n)
		call.DeadlineMs = r.DeadlineMs - (c.Clock.Now() - start)
		if call.DeadlineMs <= 0 || ctx.Err() != nil {
			break
		}
		c.recordForward(r, m)
		var reply answerReply
		if err := c.Peers.Call(ctx, m.PeerAddr, methodCharge, &call, &reply); err != nil {
			continue
		}
		if reply.Error != nil {
			return nil, reply.Error.err()
		}
		return answerFor(reply.Answer, r), nil
	}
	if ctx.Err() != nil {
		return unknownAnswer(r, yuccahinge.ReasonTimeout), nil
	}
	return unknownAnswer(r, yuccahinge.ReasonUnreachable), nil
}

// backoff waits before call n, counted from 0, or until ctx is done. It does not wait before call 0.
func backoff(ctx context.Context, n int) {
	if n == 0 {
		return
	}
	timer := time.NewTimer(initialBackoff << (n - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lookupAt looks up a claim at its owner.
func (c *Coordinator) lookupAt(ctx context.Context, owner yuccahinge.HostID, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	r := &yuccahinge.ChargeRequest{Claim: id}
	m, ok := c.Membership.Find(owner)
	if !ok {
		return unknownAnswer(r, yuccahinge.ReasonOwnerLost), nil
	}
	ctx, cancel := context.WithTimeout(ctx, defaultDeadline.Duration())
	defer cancel()
	var reply answerReply
	if err := c.Peers.Call(ctx, m.PeerAddr, methodLookup, &lookupRequest{Claim: id}, &reply); err != nil {
		return unknownAnswer(r, yuccahinge.ReasonUnreachable), nil
	}
	if reply.Error != nil {
		return nil, reply.Error.err()
	}
	return &reply.Answer, nil
}

func (c *Coordinator) recordForward(r *yuccahinge.ChargeRequest, m yuccahinge.Member) {
	c.Recorder.Record(yuccahinge.Event{
		Code: event.ChargeForwarded, Request: r.RequestID, Service: r.Service, Claim: r.Claim, Peer: m.ID,
	})
}

// unknownAnswer returns the answer to r when its claim's owner gave none.
func unknownAnswer(r *yuccahinge.ChargeRequest, reason yuccahinge.Reason) *yuccahinge.ChargeAnswer {
	return answerFor(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown, Reason: reason}, r)
}
