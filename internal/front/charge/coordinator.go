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
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
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

// Coordinator grants claims and runs charges. Set all fields before the first use; Observer may be nil. A Coordinator is
// safe for concurrent use.
type Coordinator struct {
	Self       yuccahinge.Member
	States     yuccahinge.StateProvider
	Membership yuccahinge.Membership
	Peers      yuccahinge.PeerCaller
	Caller     yuccahinge.ChargeCaller
	Picker     yuccahinge.Picker
	Observer   yuccahinge.AttemptObserver
	Clock      yuccahinge.Clock
	Recorder   yuccahinge.EventRecorder
	// Flights tracks the charges in flight; nil tracks none.
	Flights *flight.Tracker

	once         sync.Once
	group        errgroup.Group
	runningCount atomic.Int64

	// mu guards table and runs. It is held for a few map operations at a time, never during a call.
	mu    sync.Mutex
	table claim.Table
	runs  map[yuccahinge.ClaimID]*run
}

// Charge runs a charge under its claim on the host that owns the claim. The outcome is Unknown if the owner can't be
// reached; retrying the same charge is then safe, since the owner runs it at most once. An error means that this
// request started nothing. The error's Outcome is NotRun only if no other request runs or ran a charge under the
// claim. A request without a claim fails with CodeClaimRequired.
func (c *Coordinator) Charge(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	c.once.Do(c.setup)
	c.record(event.ChargeArrived, r, "", "")
	if r.Claim == "" {
		return nil, c.recordRefusal(r, notRunError(yuccahinge.CodeClaimRequired, "charge request has no claim"))
	}
	tok, err := token.Parse(r.Claim)
	if err != nil {
		return nil, c.recordRefusal(r, err)
	}
	bounded := *r
	bounded.DeadlineMs = c.deadline(r)
	ctx, cancel := context.WithTimeout(ctx, bounded.DeadlineMs.Duration())
	defer cancel()
	if tok.Owner != c.host() {
		return c.forwardTracked(ctx, tok.Owner, &bounded)
	}
	return c.runOwned(ctx, &bounded)
}

// Lookup returns the state and outcome of a claim as its owner reports them.
func (c *Coordinator) Lookup(ctx context.Context, id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	c.once.Do(c.setup)
	tok, err := token.Parse(id)
	if err != nil {
		return nil, err
	}
	if tok.Owner != c.host() {
		return c.lookupAt(ctx, tok.Owner, id)
	}
	return c.lookup(id)
}

// Seal stops the granting of claims on this host and ends its unused claims with the outcome notRun. Running charges
// continue.
func (c *Coordinator) Seal() {
	c.once.Do(c.setup)
	c.mu.Lock()
	count := c.table.Seal(c.Clock.Now())
	c.mu.Unlock()
	if count > 0 {
		c.Recorder.Record(yuccahinge.Event{Code: event.ClaimSealed, Detail: strconv.Itoa(count) + " unused claims"})
	}
}

// InFlight returns the number of charges in flight that this host has started.
func (c *Coordinator) InFlight() int { return int(c.runningCount.Load()) }

// Wait blocks until every charge that this host has started has ended.
func (c *Coordinator) Wait() { _ = c.group.Wait() }

func (c *Coordinator) setup() {
	c.table.Owner = c.host()
	c.table.Incarnation = c.Self.Incarnation
	_, _ = rand.Read(c.table.Seed[:])
	c.runs = make(map[yuccahinge.ClaimID]*run)
}

// runOwned runs a charge under a claim of this host. If the charge is already running it waits for that run, and if
// it has ended it returns the stored outcome.
func (c *Coordinator) runOwned(ctx context.Context, r *yuccahinge.ChargeRequest) (*yuccahinge.ChargeAnswer, error) {
	sum, err := digest(r.Body)
	if err != nil {
		return nil, c.recordRefusal(r, &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepDecode, Message: "body is not JSON"})
	}
	if ctx.Err() != nil {
		return unknownAnswer(r, yuccahinge.ReasonTimeout), nil
	}
	decision, active := c.begin(ctx, r, sum)
	switch decision.Verdict {
	case claim.Refuse:
		return nil, c.recordRefusal(r, decision.Err)
	case claim.Replay:
		c.record(event.ChargeRepeated, r, "", string(decision.Answer.Outcome))
		return answerFor(decision.Answer, r), nil
	case claim.Wait:
		c.record(event.ChargeRepeated, r, "", "running")
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
func (c *Coordinator) begin(ctx context.Context, r *yuccahinge.ChargeRequest, sum yuccahinge.BodyDigest) (claim.Decision, *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	decision := c.table.Begin(now, r.Claim, r.Service, sum)
	if decision.Verdict != claim.Start {
		return decision, c.runs[r.Claim]
	}
	active := &run{request: r, key: decision.Key, deadline: now + r.DeadlineMs, ended: make(chan struct{})}
	c.runs[r.Claim] = active
	c.runningCount.Add(1)
	// The run has its own timeouts. Canceling it when the caller disconnects would leave its outcome unknown.
	runCtx := context.WithoutCancel(ctx)
	c.group.Go(func() error {
		defer c.runningCount.Add(-1)
		c.execute(runCtx, active)
		return nil
	})
	return decision, active
}

func (c *Coordinator) lookup(id yuccahinge.ClaimID) (*yuccahinge.ChargeAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, err := c.table.Lookup(c.Clock.Now(), id)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// deadline returns the deadline of a charge: the request's, else the service's, else the default, up to maxDeadline.
func (c *Coordinator) deadline(r *yuccahinge.ChargeRequest) yuccahinge.Millis {
	if r.DeadlineMs > 0 {
		return min(r.DeadlineMs, maxDeadline)
	}
	state, _ := c.States.State()
	if state == nil || state.Services[r.Service] == nil {
		return defaultDeadline
	}
	if ms := state.Services[r.Service].DeadlineMs; ms > 0 {
		return min(ms, maxDeadline)
	}
	return defaultDeadline
}

func (c *Coordinator) host() yuccahinge.HostID { return yuccahinge.HostID(c.Self.ID) }

func (c *Coordinator) recordRefusal(r *yuccahinge.ChargeRequest, err error) error {
	c.record(event.ChargeRefused, r, "", err.Error())
	return err
}

func (c *Coordinator) record(code yuccahinge.EventCode, r *yuccahinge.ChargeRequest, id yuccahinge.SearcherID, detail string) {
	c.Recorder.Record(yuccahinge.Event{
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
