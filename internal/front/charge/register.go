package charge

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/token"
)

// Register hands the calls of other hosts to the desk. They are served from this host's own claims alone and never
// forwarded again.
func (d *Desk) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	d.once.Do(d.open)
	handle(methodGrant, d.serveGrant)
	handle(methodCharge, d.serveCharge)
	handle(methodLookup, d.serveLookup)
}

func (d *Desk) serveGrant(_ context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ClaimRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if err := d.chargeable(r.Service); err != nil {
		return &grantReply{Fault: faultOf(d.host(), err)}, nil
	}
	g, err := d.grant(r)
	return &grantReply{Grant: g, Fault: faultOf(d.host(), err)}, nil
}

func (d *Desk) serveCharge(ctx context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ChargeRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	d.record(event.ChargeArrived, &r, "", "")
	if !d.owns(r.Claim) {
		return &answerReply{Answer: *silent(&r, yuccahinge.ReasonUnreachable)}, nil
	}
	r.DeadlineMs = d.deadline(&r)
	ctx, cancel := context.WithTimeout(ctx, r.DeadlineMs.Duration())
	defer cancel()
	a, err := d.own(ctx, &r)
	if err != nil {
		return &answerReply{Fault: faultOf(d.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

func (d *Desk) serveLookup(_ context.Context, decode func(any) error) (any, error) {
	var r lookupCall
	if err := decode(&r); err != nil {
		return nil, err
	}
	if !d.owns(r.Claim) {
		return &answerReply{Answer: *silent(&yuccahinge.ChargeRequest{Claim: r.Claim}, yuccahinge.ReasonUnreachable)}, nil
	}
	a, err := d.lookup(r.Claim)
	if err != nil {
		return &answerReply{Fault: faultOf(d.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

// owns reports whether the claim may be one of this host's. A host that took over the address of another one
// receives the calls meant for that one, and knows nothing of its claims.
func (d *Desk) owns(id yuccahinge.ClaimID) bool {
	k, err := token.Parse(id)
	return err == nil && k.Owner == d.host()
}
