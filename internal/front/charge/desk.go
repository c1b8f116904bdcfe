// Package charge runs charges on entry hosts: it grants claims, forwards charges to the owners of their claims,
// and runs those that this host owns, each at most once.
package charge

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/claim"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/token"
)

const (
	// defaultDeadline bounds charges of services that name no deadline.
	defaultDeadline = 5 * yuccahinge.Second
	// maxDeadline bounds the deadline that a caller may name.
	maxDeadline = 60 * yuccahinge.Second
	// settle is the time beyond the deadline for which a searcher's reply is awaited: giving up on one that may
	// have run leaves the outcome unknown for good.
	settle = 10 * yuccahinge.Second
	// maxAttempts bounds the searchers that one charge is offered to.
	maxAttempts = 3
	// stateDone is the State of an answer whose outcome is final.
	stateDone = "done"
)

// Desk grants claims and runs charges. Set all fields but Observer before the first use.
type Desk struct {
	Self     yuccahinge.Member
	States   yuccahinge.StateHolder
	Roster   yuccahinge.Roster
	Peers    yuccahinge.PeerCaller
	Caller   yuccahinge.ChargeCaller
	Picker   yuccahinge.Picker
	Observer yuccahinge.Observer
	Clock    yuccahinge.Clock
	Recorder yuccahinge.Recorder

	once    sync.Once
	group   errgroup.Group
	running atomic.Int64

	// mu guards the table and the runs. Charges alone take it, for a few map operations each.
	mu    sync.Mutex
	table claim.Table
	runs  map[yuccahinge.ClaimID]*run
}

// Charge runs a charge under its claim, wherever the owner is. The answer is Unknown when the owner can't be asked;
// the same charge may then be sent again, since the owner runs it at most once. An error means that this request
// started nothing; its outcome is NotRun only if nothing else runs or ran under the claim. Without a claim it has the
// code claimRequired.
func (d *Desk) Charge(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	d.once.Do(d.open)
	d.record(event.ChargeArrived, r, "", "")
	if r.Claim == "" {
		return nil, d.refused(r, fail(yuccahinge.CodeClaimRequired, "a charge needs a claim"))
	}
	k, err := token.Parse(r.Claim)
	if err != nil {
		return nil, d.refused(r, err)
	}
	bounded := *r
	bounded.DeadlineMs = d.deadline(r)
	ctx, cancel := context.WithTimeout(ctx, bounded.DeadlineMs.Duration())
	defer cancel()
	if k.Owner != d.host() {
		return d.forward(ctx, k.Owner, &bounded)
	}
	return d.own(ctx, &bounded)
}

// Lookup returns what the owner of a claim says of it.
func (d *Desk) Lookup(ctx context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	d.once.Do(d.open)
	k, err := token.Parse(id)
	if err != nil {
		return nil, err
	}
	if k.Owner != d.host() {
		return d.ask(ctx, k.Owner, id)
	}
	return d.lookup(id)
}

// Seal ends the granting of claims here and gives every unused claim of this host the outcome notRun. Charges that
// run go on to their end.
func (d *Desk) Seal() {
	d.once.Do(d.open)
	d.mu.Lock()
	count := d.table.Seal(d.Clock.Now())
	d.mu.Unlock()
	if count > 0 {
		d.Recorder.Record(yuccahinge.Event{Code: event.ClaimSealed, Detail: strconv.Itoa(count) + " unused claims"})
	}
}

// Running returns the number of charges that this host has started and that have not ended.
func (d *Desk) Running() int { return int(d.running.Load()) }

// Wait returns when every charge that this host has started has ended.
func (d *Desk) Wait() { _ = d.group.Wait() }

func (d *Desk) open() {
	d.table.Owner = d.host()
	d.table.Incarnation = d.Self.Incarnation
	_, _ = rand.Read(d.table.Seed[:])
	d.runs = make(map[yuccahinge.ClaimID]*run)
}

// own runs a charge whose claim this host granted, or joins the run or the outcome that it already has.
func (d *Desk) own(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	sum, err := digest(r.Body)
	if err != nil {
		return nil, d.refused(r, &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepDecode, Message: "body is not JSON"})
	}
	if ctx.Err() != nil {
		return silent(r, yuccahinge.ReasonTimeout), nil
	}
	decision, going := d.begin(ctx, r, sum)
	switch decision.Verdict {
	case claim.Refuse:
		return nil, d.refused(r, decision.Err)
	case claim.Repeat:
		d.record(event.ChargeRepeated, r, "", string(decision.Answer.Outcome))
		return addressed(decision.Answer, r), nil
	case claim.Wait:
		d.record(event.ChargeRepeated, r, "", "running")
	}
	select {
	case <-going.ended:
		return addressed(going.answer, r), nil
	case <-ctx.Done():
		late := decision.Answer
		late.Reason = yuccahinge.ReasonTimeout
		return addressed(late, r), nil
	}
}

// begin asks the table and starts the charge if it says so. It returns the run to wait for, if there is one.
func (d *Desk) begin(ctx context.Context, r *yuccahinge.ChargeRequest, sum yuccahinge.BodyDigest) (claim.Decision, *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	decision := d.table.Begin(now, r.Claim, r.Service, sum)
	if decision.Verdict != claim.Start {
		return decision, d.runs[r.Claim]
	}
	going := &run{request: r, key: decision.Key, deadline: now + r.DeadlineMs, ended: make(chan struct{})}
	d.runs[r.Claim] = going
	d.running.Add(1)
	// The run has its own bounds: a caller that goes away must not leave its outcome unknown.
	alone := context.WithoutCancel(ctx)
	d.group.Go(func() error {
		defer d.running.Add(-1)
		d.drive(alone, going)
		return nil
	})
	return decision, going
}

func (d *Desk) lookup(id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, err := d.table.Lookup(d.Clock.Now(), id)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// deadline returns the bound of a charge: the caller's, or else the service's.
func (d *Desk) deadline(r *yuccahinge.ChargeRequest) yuccahinge.Millis {
	if r.DeadlineMs > 0 {
		return min(r.DeadlineMs, maxDeadline)
	}
	state, _ := d.States.State()
	if state == nil || state.Services[r.Service] == nil {
		return defaultDeadline
	}
	if own := state.Services[r.Service].DeadlineMs; own > 0 {
		return min(own, maxDeadline)
	}
	return defaultDeadline
}

func (d *Desk) host() yuccahinge.HostID { return yuccahinge.HostID(d.Self.ID) }

func (d *Desk) refused(r *yuccahinge.ChargeRequest, err error) error {
	d.record(event.ChargeRefused, r, "", err.Error())
	return err
}

func (d *Desk) record(code yuccahinge.EventCode, r *yuccahinge.ChargeRequest, id yuccahinge.SearcherID, detail string) {
	d.Recorder.Record(yuccahinge.Event{
		Code: code, Request: r.RequestID, Service: r.Service, Claim: r.Claim, Searcher: id, Detail: detail,
	})
}

// addressed returns an answer under the request id of the caller that it goes to.
func addressed(a yuccahinge.ChargeAnswer, r *yuccahinge.ChargeRequest) *yuccahinge.ChargeAnswer {
	a.RequestID = r.RequestID
	a.Claim = r.Claim
	return &a
}

func fail(code yuccahinge.Code, message string) error {
	return &yuccahinge.Error{Code: code, Step: yuccahinge.StepClaim, Message: message, Outcome: yuccahinge.NotRun}
}
