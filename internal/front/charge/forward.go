package charge

import (
	"context"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// maxSends bounds the calls to the owner for one charge. Another call is safe, since the owner starts a claim once,
	// and several may fail at once: after a cut, each idle connection to the owner is broken.
	maxSends = 6
	// firstPause is the wait before the second call. It doubles with each further one.
	firstPause = 10 * time.Millisecond
)

// forward sends a charge to the owner of its claim. When the owner can't be asked the outcome is unknown, even if this
// host sent it nothing: the same claim may have reached the owner through another host.
func (d *Desk) forward(ctx context.Context, owner yuccahinge.HostID, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	m, ok := d.Roster.Find(owner)
	if !ok {
		return silent(r, yuccahinge.ReasonOwnerLost), nil
	}
	start := d.Clock.Now()
	call := *r
	for n := range maxSends {
		pause(ctx, n)
		call.DeadlineMs = r.DeadlineMs - (d.Clock.Now() - start)
		if call.DeadlineMs <= 0 || ctx.Err() != nil {
			break
		}
		d.recordForward(r, m)
		var reply answerReply
		if err := d.Peers.Call(ctx, m.PeerAddr, methodCharge, &call, &reply); err != nil {
			continue
		}
		if reply.Fault != nil {
			return nil, reply.Fault.err()
		}
		return addressed(reply.Answer, r), nil
	}
	if ctx.Err() != nil {
		return silent(r, yuccahinge.ReasonTimeout), nil
	}
	return silent(r, yuccahinge.ReasonUnreachable), nil
}

// pause waits before the call numbered n, from 0.
func pause(ctx context.Context, n int) {
	if n == 0 {
		return
	}
	timer := time.NewTimer(firstPause << (n - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask looks up a claim at its owner.
func (d *Desk) ask(ctx context.Context, owner yuccahinge.HostID, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	r := &yuccahinge.ChargeRequest{Claim: id}
	m, ok := d.Roster.Find(owner)
	if !ok {
		return silent(r, yuccahinge.ReasonOwnerLost), nil
	}
	ctx, cancel := context.WithTimeout(ctx, defaultDeadline.Duration())
	defer cancel()
	var reply answerReply
	if err := d.Peers.Call(ctx, m.PeerAddr, methodLookup, &lookupCall{Claim: id}, &reply); err != nil {
		return silent(r, yuccahinge.ReasonUnreachable), nil
	}
	if reply.Fault != nil {
		return nil, reply.Fault.err()
	}
	return &reply.Answer, nil
}

func (d *Desk) recordForward(r *yuccahinge.ChargeRequest, m yuccahinge.Member) {
	d.Recorder.Record(yuccahinge.Event{
		Code: event.ChargeForwarded, Request: r.RequestID, Service: r.Service, Claim: r.Claim, Peer: m.ID,
	})
}

// silent returns the answer for a claim whose owner said nothing.
func silent(r *yuccahinge.ChargeRequest, reason yuccahinge.Reason) *yuccahinge.ChargeAnswer {
	return addressed(yuccahinge.ChargeAnswer{Outcome: yuccahinge.Unknown, Reason: reason}, r)
}
