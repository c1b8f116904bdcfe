package charge

import (
	"context"
	"errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// maxOwners bounds the other hosts that are asked for one grant.
	maxOwners = 3
	// grantWait bounds the call to one of them.
	grantWait = 300 * yuccahinge.Second / 1000
)

// Grant returns a fresh claim. The hosts order themselves by the business key, so that two callers who raise the same
// charge usually meet at one owner; when it can't be asked, the next one grants, since an unused grant does no harm.
func (d *Desk) Grant(ctx context.Context, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	d.once.Do(d.open)
	if err := d.chargeable(r.Service); err != nil {
		return yuccahinge.ClaimGrant{}, err
	}
	var last error
	for _, m := range d.owners(r) {
		g, err := d.grantAt(ctx, m, r)
		if err == nil || !isPassing(err) || ctx.Err() != nil {
			return g, err
		}
		last = err
	}
	return yuccahinge.ClaimGrant{}, last
}

func (d *Desk) grantAt(ctx context.Context, m yuccahinge.Member, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	if m.ID == d.Self.ID {
		return d.grant(r)
	}
	ctx, cancel := context.WithTimeout(ctx, grantWait.Duration())
	defer cancel()
	var reply grantReply
	if err := d.Peers.Call(ctx, m.PeerAddr, methodGrant, &r, &reply); err != nil {
		return yuccahinge.ClaimGrant{}, &yuccahinge.Error{
			Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepForward, Peer: m.ID, Message: "owner can't be asked", Err: err,
		}
	}
	return reply.Grant, reply.Fault.err()
}

// grant grants a claim of this host.
func (d *Desk) grant(r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	d.mu.Lock()
	g, err := d.table.Grant(d.Clock.Now(), r)
	d.mu.Unlock()
	if err == nil {
		d.Recorder.Record(yuccahinge.Event{Code: event.ClaimGranted, Service: r.Service, Claim: g.Claim})
	}
	return g, err
}

// owners returns the hosts to ask, in order: a few others and this one. Suspects keep their place, since hosts that
// differ in whom they suspect would else send two charges of one key to two owners; a dead one costs a call.
func (d *Desk) owners(r yuccahinge.ClaimRequest) []yuccahinge.Member {
	members := make(map[string]yuccahinge.Member)
	var ids []string
	for _, m := range d.Roster.Members() {
		if m.Status == yuccahinge.StatusLive || m.Status == yuccahinge.StatusSuspect {
			members[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	var owners []yuccahinge.Member
	others, self := 0, false
	for _, id := range rendez.Order(string(r.Service)+"\x00"+r.Key, ids) {
		switch {
		case id == d.Self.ID:
			self = true
			owners = append(owners, d.Self)
		case others < maxOwners:
			others++
			owners = append(owners, members[id])
		}
	}
	if !self {
		owners = append(owners, d.Self)
	}
	return owners
}

// chargeable returns an error unless the service takes charges.
func (d *Desk) chargeable(name yuccahinge.ServiceName) error {
	state, _ := d.States.State()
	if state == nil {
		return fail(yuccahinge.CodeUnavailable, "no ticket is in force yet")
	}
	service := state.Services[name]
	if service == nil {
		return fail(yuccahinge.CodeNotFound, "no such service")
	}
	if service.Kind != yuccahinge.KindCharge {
		return fail(yuccahinge.CodeInvalid, "service takes no charges")
	}
	return nil
}

// isPassing reports whether another owner may grant what this one did not.
func isPassing(err error) bool {
	var e *yuccahinge.Error
	return errors.As(err, &e) && e.Code == yuccahinge.CodeUnavailable
}
