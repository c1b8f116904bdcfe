package charge

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/token"
)

// Register registers the handlers for calls from other hosts. The handlers only use claims of this host and never
// forward a call.
func (d *Coordinator) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	d.once.Do(d.setup)
	handle(methodGrant, d.serveGrant)
	handle(methodCharge, d.serveCharge)
	handle(methodLookup, d.serveLookup)
}

func (d *Coordinator) serveGrant(_ context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ClaimRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if err := d.checkService(r.Service); err != nil {
		return &grantReply{Error: toWireError(d.host(), err)}, nil
	}
	g, err := d.grantLocal(r)
	return &grantReply{Grant: g, Error: toWireError(d.host(), err)}, nil
}

func (d *Coordinator) serveCharge(ctx context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ChargeRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	d.record(event.ChargeArrived, &r, "", "")
	if !d.ownsClaim(r.Claim) {
		return &answerReply{Answer: *unknownAnswer(&r, yuccahinge.ReasonUnreachable)}, nil
	}
	r.DeadlineMs = d.deadline(&r)
	ctx, cancel := context.WithTimeout(ctx, r.DeadlineMs.Duration())
	defer cancel()
	a, err := d.runOwned(ctx, &r)
	if err != nil {
		return &answerReply{Error: toWireError(d.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

func (d *Coordinator) serveLookup(_ context.Context, decode func(any) error) (any, error) {
	var r lookupRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if !d.ownsClaim(r.Claim) {
		return &answerReply{Answer: *unknownAnswer(&yuccahinge.ChargeRequest{Claim: r.Claim}, yuccahinge.ReasonUnreachable)}, nil
	}
	a, err := d.lookup(r.Claim)
	if err != nil {
		return &answerReply{Error: toWireError(d.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

// ownsClaim reports whether the claim names this host as its owner. A host that reuses the address of another host
// can receive calls meant for that host, whose claims it does not have.
func (d *Coordinator) ownsClaim(id yuccahinge.ClaimID) bool {
	tok, err := token.Parse(id)
	return err == nil && tok.Owner == d.host()
}
