package charge

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/token"
)

// Register registers the handlers for calls from other hosts. The handlers only use claims of this host and never
// forward a call.
func (c *Coordinator) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	c.once.Do(c.setup)
	handle(methodGrant, c.serveGrant)
	handle(methodCharge, c.serveCharge)
	handle(methodLookup, c.serveLookup)
}

func (c *Coordinator) serveGrant(_ context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ClaimRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if err := c.checkService(r.Service); err != nil {
		return &grantReply{Error: toWireError(c.host(), err)}, nil
	}
	g, err := c.grantLocal(r)
	return &grantReply{Grant: g, Error: toWireError(c.host(), err)}, nil
}

func (c *Coordinator) serveCharge(ctx context.Context, decode func(any) error) (any, error) {
	var r yuccahinge.ChargeRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	c.record(event.ChargeArrived, &r, "", "")
	if !c.ownsClaim(r.Claim) {
		return &answerReply{Answer: *unknownAnswer(&r, yuccahinge.ReasonUnreachable)}, nil
	}
	r.DeadlineMs = c.deadline(&r)
	ctx, cancel := context.WithTimeout(ctx, r.DeadlineMs.Duration())
	defer cancel()
	a, err := c.runOwned(ctx, &r)
	if err != nil {
		return &answerReply{Error: toWireError(c.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

func (c *Coordinator) serveLookup(_ context.Context, decode func(any) error) (any, error) {
	var r lookupRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if !c.ownsClaim(r.Claim) {
		return &answerReply{Answer: *unknownAnswer(&yuccahinge.ChargeRequest{Claim: r.Claim}, yuccahinge.ReasonUnreachable)}, nil
	}
	a, err := c.lookup(r.Claim)
	if err != nil {
		return &answerReply{Error: toWireError(c.host(), err)}, nil
	}
	return &answerReply{Answer: *a}, nil
}

// ownsClaim reports whether the claim names this host as its owner. A host that reuses the address of another host
// can receive calls meant for that host, whose claims it does not have.
func (c *Coordinator) ownsClaim(id yuccahinge.ClaimID) bool {
	tok, err := token.Parse(id)
	return err == nil && tok.Owner == c.host()
}
