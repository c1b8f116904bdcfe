package charge

import (
	"context"
	"errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// maxGrantPeers is the maximum number of other hosts called for one grant.
	maxGrantPeers = 3
	// grantTimeout is the timeout of the call to one other host for a grant.
	grantTimeout = 300 * yuccahinge.Second / 1000
)

// Grant returns a new claim. Rendezvous hashing of the business key picks the owner, so two callers with the same
// charge usually get claims of one owner, which allows only one of them to run. If a host is unavailable the next one
// in the order grants the claim. A claim whose grant did not reach this host stays unused and has no effect.
func (c *Coordinator) Grant(ctx context.Context, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	c.once.Do(c.setup)
	if err := c.checkService(r.Service); err != nil {
		return yuccahinge.ClaimGrant{}, err
	}
	var lastErr error
	for _, m := range c.grantCandidates(r) {
		g, err := c.grantAt(ctx, m, r)
		if err == nil || !isRetryable(err) || ctx.Err() != nil {
			return g, err
		}
		lastErr = err
	}
	return yuccahinge.ClaimGrant{}, lastErr
}

func (c *Coordinator) grantAt(ctx context.Context, m yuccahinge.Member, r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	if m.ID == c.Self.ID {
		return c.grantLocal(r)
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout.Duration())
	defer cancel()
	var reply grantReply
	if err := c.Peers.Call(ctx, m.PeerAddr, methodGrant, &r, &reply); err != nil {
		return yuccahinge.ClaimGrant{}, &yuccahinge.Error{
			Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepForward, Peer: m.ID, Message: "grant request to the host failed", Err: err,
			Outcome: yuccahinge.NotRun, // a grant runs nothing
		}
	}
	return reply.Grant, reply.Error.err()
}

// grantLocal grants a claim owned by this host.
func (c *Coordinator) grantLocal(r yuccahinge.ClaimRequest) (yuccahinge.ClaimGrant, error) {
	c.mu.Lock()
	g, err := c.table.Grant(c.Clock.Now(), r)
	c.mu.Unlock()
	if err == nil {
		c.Recorder.Record(yuccahinge.Event{Code: event.ClaimGranted, Service: r.Service, Claim: g.Claim})
	}
	return g, err
}

// grantCandidates returns the hosts to try for a grant in rendezvous order: up to maxGrantPeers others and this host.
// Suspects keep their place. Without them, hosts that suspect different members would pick different owners for one
// key, and two charges of that key could run. The cost is one failed call if the suspect is dead.
func (c *Coordinator) grantCandidates(r yuccahinge.ClaimRequest) []yuccahinge.Member {
	members := make(map[string]yuccahinge.Member)
	var ids []string
	for _, m := range c.Membership.Members() {
		if m.Status == yuccahinge.StatusLive || m.Status == yuccahinge.StatusSuspect {
			members[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	var candidates []yuccahinge.Member
	others, hasSelf := 0, false
	for _, id := range rendez.Order(string(r.Service)+"\x00"+r.Key, ids) {
		switch {
		case id == c.Self.ID:
			hasSelf = true
			candidates = append(candidates, c.Self)
		case others < maxGrantPeers:
			others++
			candidates = append(candidates, members[id])
		}
	}
	if !hasSelf {
		candidates = append(candidates, c.Self)
	}
	return candidates
}

// checkService returns an error unless the named service exists and takes charges.
func (c *Coordinator) checkService(name yuccahinge.ServiceName) error {
	state, _ := c.States.State()
	if state == nil {
		return notRunError(yuccahinge.CodeUnavailable, "no ticket is in force yet")
	}
	service := state.Services[name]
	if service == nil {
		return notRunError(yuccahinge.CodeNotFound, "no such service")
	}
	if service.Kind != yuccahinge.KindCharge {
		return notRunError(yuccahinge.CodeInvalid, "service is not a charge service")
	}
	return nil
}

// isRetryable reports whether the grant can be tried at another host after err.
func isRetryable(err error) bool {
	var e *yuccahinge.Error
	return errors.As(err, &e) && e.Code == yuccahinge.CodeUnavailable
}
