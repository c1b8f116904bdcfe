// Package charge grants claims, forwards charges to the hosts that own their claims, and runs the charges of this
// host's own claims at most once.
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
	// defaultDeadline is the deadline of a charge when neither the request nor the service sets one.
	defaultDeadline = 5 * yuccahinge.Second
	// maxDeadline is the maximum deadline that a request or a service can set.
	maxDeadline = 60 * yuccahinge.Second
	// replyGrace is how long past the deadline an attempt still waits for the searcher's reply. Ending the attempt
	// without a reply leaves the outcome unknown permanently.
	replyGrace = 10 * yuccahinge.Second
	// maxAttempts is the maximum number of searchers tried for one charge.
	maxAttempts = 3
	// stateDone is the State of an answer whose outcome is final.
	stateDone = "done"
)

// Coordinator grants claims and runs charges. Set all fields before the first use; Observer may be nil. A Coordinator is safe for
// concurrent use.
type Coordinator struct {
	Self     yuccahinge.Member
	States   yuccahinge.StateProvider
	Roster   yuccahinge.Membership
	Peers    yuccahinge.PeerCaller
	Caller   yuccahinge.ChargeCaller
	Picker   yuccahinge.Picker
	Observer yuccahinge.AttemptObserver
	Clock    yuccahinge.Clock
	Recorder yuccahinge.EventRecorder

	once    sync.Once
	group   errgroup.Group
	running atomic.Int64

	// mu guards table and runs. It is held for a few map operations at a time, never during a call.
	mu    sync.Mutex
	table claim.Table
	runs  map[yuccahinge.ClaimID]*run
}

// Charge runs a charge under its claim on the host that owns the claim. The outcome is Unknown if the owner can't be
// reached; retrying the same charge is then safe, since the owner runs it at most once. An error means that this
// request started nothing. The error's Outcome is NotRun only if no other request runs or ran a charge under the
// claim. A request without a claim fails with CodeClaimRequired.
func (d *Coordinator) Charge(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	d.once.Do(d.setup)
	d.record(event.ChargeArrived, r, "", "")
	if r.Claim == "" {
		return nil, d.recordRefusal(r, notRunError(yuccahinge.CodeClaimRequired, "charge request has no claim"))
	}
	tok, err := token.Parse(r.Claim)
	if err != nil {
		return nil, d.recordRefusal(r, err)
	}
	bounded := *r
	bounded.DeadlineMs = d.deadline(r)
	ctx, cancel := context.WithTimeout(ctx, bounded.DeadlineMs.Duration())
	defer cancel()
	if tok.Owner != d.host() {
		return d.forward(ctx, tok.Owner, &bounded)
	}
	return d.runOwned(ctx, &bounded)
}

// Lookup returns the state and outcome of a claim as its owner reports them.
func (d *Coordinator) Lookup(ctx context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	d.once.Do(d.setup)
	tok, err := token.Parse(id)
	if err != nil {
		return nil, err
	}
	if tok.Owner != d.host() {
		return d.lookupAt(ctx, tok.Owner, id)
	}
	return d.lookup(id)
}

// Seal stops the granting of claims on this host and ends its unused claims with the outcome notRun. Running charges
// continue.
func (d *Coordinator) Seal() {
	d.once.Do(d.setup)
	d.mu.Lock()
	count := d.table.Seal(d.Clock.Now())
	d.mu.Unlock()
	if count > 0 {
		d.Recorder.Record(yuccahinge.Event{Code: event.ClaimSealed, Detail: strconv.Itoa(count) + " unused claims"})
	}
}

// InFlight returns the number of charges in flight that this host has started.
func (d *Coordinator) InFlight() int { return int(d.running.Load()) }

// Wait blocks until every charge that this host has started has ended.
func (d *Coordinator) Wait() { _ = d.group.Wait() }

func (d *Coordinator) setup() {
	d.table.Owner = d.host()
	d.table.Incarnation = d.Self.Incarnation
	_, _ = rand.Read(d.table.Seed[:])
	d.runs = make(map[yuccahinge.ClaimID]*run)
}

// runOwned runs a charge under a claim of this host. If the charge is already running it waits for that run, and if
// it has ended it returns the stored outcome.
func (d *Coordinator) runOwned(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	sum, err := digest(r.Body)
	if err != nil {
		return nil, d.recordRefusal(r, &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepDecode, Message: "body is not JSON"})
	}
	if ctx.Err() != nil {
		return unknownAnswer(r, yuccahinge.ReasonTimeout), nil
	}
	decision, active := d.begin(ctx, r, sum)
	switch decision.Verdict {
	case claim.Refuse:
		return nil, d.recordRefusal(r, decision.Err)
	case claim.Replay:
		d.record(event.ChargeRepeated, r, "", string(decision.Answer.Outcome))
		return answerFor(decision.Answer, r), nil
	case claim.Wait:
		d.record(event.ChargeRepeated, r, "", "running")
	}
	select {
	case <-active.ended:
		return answerFor(active.answer, r), nil
	case <-ctx.Done():
		answer := decision.Answer
		answer.Reason = yuccahinge.ReasonTimeout
		return answerFor(answer, r), nil
	}
}

// begin starts the charge if the claim table allows it. It also returns the run in progress under the claim, or nil.
func (d *Coordinator) begin(ctx context.Context, r *yuccahinge.ChargeRequest, sum yuccahinge.BodyDigest) (claim.Decision, *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	decision := d.table.Begin(now, r.Claim, r.Service, sum)
	if decision.Verdict != claim.Start {
		return decision, d.runs[r.Claim]
	}
	active := &run{request: r, key: decision.Key, deadline: now + r.DeadlineMs, ended: make(chan struct{})}
	d.runs[r.Claim] = active
	d.running.Add(1)
	// The run has its own timeouts. Canceling it when the caller disconnects would leave its outcome unknown.
	runCtx := context.WithoutCancel(ctx)
	d.group.Go(func() error {
		defer d.running.Add(-1)
		d.execute(runCtx, active)
		return nil
	})
	return decision, active
}

func (d *Coordinator) lookup(id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, err := d.table.Lookup(d.Clock.Now(), id)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// deadline returns the deadline of a charge: the request's, else the service's, else the default, up to maxDeadline.
func (d *Coordinator) deadline(r *yuccahinge.ChargeRequest) yuccahinge.Millis {
	if r.DeadlineMs > 0 {
		return min(r.DeadlineMs, maxDeadline)
	}
	state, _ := d.States.State()
	if state == nil || state.Services[r.Service] == nil {
		return defaultDeadline
	}
	if ms := state.Services[r.Service].DeadlineMs; ms > 0 {
		return min(ms, maxDeadline)
	}
	return defaultDeadline
}

func (d *Coordinator) host() yuccahinge.HostID { return yuccahinge.HostID(d.Self.ID) }

func (d *Coordinator) recordRefusal(r *yuccahinge.ChargeRequest, err error) error {
	d.record(event.ChargeRefused, r, "", err.Error())
	return err
}

func (d *Coordinator) record(code yuccahinge.EventCode, r *yuccahinge.ChargeRequest, id yuccahinge.SearcherID, detail string) {
	d.Recorder.Record(yuccahinge.Event{
		Code: code, Request: r.RequestID, Service: r.Service, Claim: r.Claim, Searcher: id, Detail: detail,
	})
}

// answerFor returns the answer with the request id and the claim of r. Several requests can share one run's answer.
func answerFor(a yuccahinge.ChargeAnswer, r *yuccahinge.ChargeRequest) *yuccahinge.ChargeAnswer {
	a.RequestID = r.RequestID
	a.Claim = r.Claim
	return &a
}

func notRunError(code yuccahinge.Code, message string) error {
	return &yuccahinge.Error{Code: code, Step: yuccahinge.StepClaim, Message: message, Outcome: yuccahinge.NotRun}
}
