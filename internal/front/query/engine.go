// Package query runs searches and forwarded requests: it pins a state, scatters calls to the searchers and merges the
// replies.
package query

import (
	"context"
	"math"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/crash"
	"github.com/yuccahinge/yuccahinge/depart"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/call/reject"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/front/losses"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/swap"
)

const (
	// defaultDeadline applies to a search if neither its caller nor its service sets a deadline.
	defaultDeadline = 1 * yuccahinge.Second
	// defaultMaxDeadline is the longest deadline that a caller may set.
	defaultMaxDeadline = 60 * yuccahinge.Second
	// defaultReturnMarginMs is subtracted from the deadline for the transfer of the answer to the caller.
	defaultReturnMarginMs yuccahinge.Millis = 2
	// callGraceMs is how long calls may continue after the deadline, so that over HTTP/1.1 the searcher's own refusal
	// arrives and the connection stays open.
	callGraceMs yuccahinge.Millis = 100
)

// Engine runs searches and forwarded requests. Search requires States and Caller, Forward requires Caller; all other
// fields are optional. Set all fields before the first request.
type Engine struct {
	States          yuccahinge.StateProvider
	Caller          yuccahinge.ShardCaller
	Picker          yuccahinge.Picker
	Observer        yuccahinge.AttemptObserver
	Hedger          yuccahinge.Hedger
	LatencyRecorder yuccahinge.LatencyRecorder
	RetryBudget     yuccahinge.AttemptBudget
	HedgeBudget     yuccahinge.AttemptBudget
	Limiter         yuccahinge.Limiter
	// Quarantine quarantines queries that crash searchers.
	Quarantine *poison.Quarantine
	// Crashes tracks forwarded requests that crash searchers; nil tracks none.
	Crashes *crash.Tracker
	// IsGone reports whether a searcher has ended since the given time. It may block. Nil takes every searcher that closed a
	// connection for one that has.
	IsGone func(ctx context.Context, s *yuccahinge.Searcher, since yuccahinge.Millis) bool
	// IsAlive reports whether a searcher of a service responds to a request that is sent now. It may block. Nil leaves the ends of
	// searchers that come after a call to them has ended out of Crashes.
	IsAlive func(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, service yuccahinge.ServiceName) bool
	// Versions selects the previous index version until the searchers have loaded the new one.
	Versions *swap.Versions
	// Departures records which searchers are draining.
	Departures *depart.Tracker
	// Troubles tracks the searchers that reject requests without load; nil tracks none.
	Troubles *reject.Tracker
	// Gossip sends the notices of Quarantine, Departures and Troubles to the other hosts.
	Gossip yuccahinge.Gossip
	// ReachableShards returns the number of shards of an index that this host can reach now; nil counts every shard that has a
	// searcher.
	ReachableShards func(now yuccahinge.Millis, ix *yuccahinge.Index) int
	// Estimator lets forwarded requests skip overloaded shards; nil queries every shard.
	Estimator yuccahinge.LatencyEstimator
	// Admission refuses forwarded requests that the searchers have no room for; nil admits all.
	Admission yuccahinge.Admission
	// Room tells when the shards have room for a call under the maximum rates of their searchers; nil puts no such limit
	// on calls.
	Room yuccahinge.RoomEstimator
	// HasRoom reports whether a searcher seems to have a free slot; nil puts no such limit on hedges.
	HasRoom func(now yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher) bool
	// Delegator delegates shards without a replica in this failure domain to hosts of other domains; nil delegates none.
	Delegator Delegator
	// Domain is this host's failure domain.
	Domain   yuccahinge.DomainID
	Clock    yuccahinge.Clock
	Recorder yuccahinge.EventRecorder
	// Flights tracks the searches in flight; nil tracks none. Its user tracks forwarded requests.
	Flights *flight.Tracker
	// OnAttempt, if set, is called for each attempt that is sent.
	OnAttempt func(cause gather.Cause, id yuccahinge.SearcherID)
	// CatchUp waits until the state in force has at least ticket number n.
	CatchUp func(ctx context.Context, n yuccahinge.TicketNumber) error
	// Refresh is called before a state is pinned. It blocks only after the process did not run for a while.
	Refresh func(ctx context.Context)

	// Canary sends a query to one or two shards first, unless Quarantine has recorded that all shards replied to it recently.
	Canary bool
	// FinishHTTP1 lets HTTP/1.1 calls finish when their replies are no longer needed. This keeps their connections open
	// but occupies the searchers' slots.
	FinishHTTP1 bool
	// OmitAttemptEvents omits the events of attempts, except those of invalid replies. The event at the end of a request
	// lists the lacking shards.
	OmitAttemptEvents bool
	// CallerOneWayMs is the one-way network delay to a caller for which no delay was measured.
	CallerOneWayMs yuccahinge.Millis
	// ReturnMarginMs is subtracted from the deadline for the transfer of the answer to the caller; zero means 2 ms.
	ReturnMarginMs yuccahinge.Millis
	// MaxDeadlineMs is the longest deadline that a caller may set; zero means 60 seconds.
	MaxDeadlineMs yuccahinge.Millis

	// goneChecks is the number of searchers that are being checked whether they have ended.
	goneChecks atomic.Int32
	// aliveChecks is the number of searchers that are being checked whether they respond after a call has ended.
	aliveChecks atomic.Int32
	// ledger tracks the requests whose parts other hosts run.
	ledger losses.Ledger
	// partRooms holds a *partRoom for each partShard that a host could not call for want of room.
	partRooms sync.Map
}

// Search runs one search. A partial answer is not an error. An answer with the outcome NotRun means that no searcher
// ran the query. The error is a *yuccahinge.Error; its Outcome is NotRun if nothing was sent.
func (e *Engine) Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	arrived := e.now()
	e.record(yuccahinge.Event{Code: event.SearchArrived, Request: r.RequestID, Service: r.Service})
	answer, err := e.search(ctx, arrived, r)
	if err != nil {
		e.record(yuccahinge.Event{Code: event.SearchRefused, Request: r.RequestID, Service: r.Service, Detail: err.Error()})
		return nil, err
	}
	e.record(yuccahinge.Event{
		Code:    event.SearchAnswered,
		Request: r.RequestID,
		Service: r.Service,
		Ticket:  answer.Ticket,
		Detail:  string(answer.Outcome),
	})
	return answer, nil
}

func (e *Engine) search(ctx context.Context, arrived yuccahinge.Millis, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	if err := e.validate(r); err != nil {
		return nil, err
	}
	state, age, err := e.pinState(ctx, arrived, r)
	if err != nil {
		return nil, err
	}
	service := state.Services[r.Service]
	if service == nil || service.Kind == yuccahinge.KindCharge {
		return nil, notRunError(yuccahinge.CodeNotFound, yuccahinge.StepPin, "no search service is named "+strconv.Quote(string(r.Service)))
	}
	deadline := arrived + searchTimeout(r, service) - e.returnMargin()
	now := e.now()
	if now >= deadline {
		return nil, notRunError(yuccahinge.CodeDeadline, yuccahinge.StepPin, "the deadline passed before the search started")
	}
	if e.Flights != nil {
		tracked, request, err := e.Flights.Start(ctx, r.RequestID, yuccahinge.RouteName(r.Service), deadline+e.returnMargin())
		if err != nil {
			return nil, err
		}
		defer request.Finish()
		if err := request.Send(); err != nil {
			return nil, err
		}
		ctx = tracked
	}
	fp := fingerprint(r)
	verdict := e.poisonVerdict(now, fp)
	if verdict == poison.Confirmed || verdict == poison.Cooldown {
		return nil, notRunError(yuccahinge.CodePoisoned, yuccahinge.StepAdmit, "the query is quarantined because it crashed searchers")
	}
	if e.Limiter != nil && !e.Limiter.Admit(now, r.Service) {
		return nil, notRunError(yuccahinge.CodeUnavailable, yuccahinge.StepAdmit, "the service is over its capacity")
	}
	q := &run{engine: e, fingerprint: fp, job: job{
		request:  r.RequestID,
		service:  r.Service,
		ticket:   state.Ticket,
		index:    e.chooseIndex(now, r.Service, service),
		query:    r.Query,
		calendar: state.Calendars[service.Calendar],
	}}
	q.prepareSearch(service, arrived, deadline, verdict)
	defer q.finishAttempts()
	err = q.execute(ctx)
	e.release(arrived, q)
	if err != nil {
		return nil, err
	}
	answer, err := q.answer()
	if err != nil {
		return nil, err
	}
	answer.StateAgeMs = age
	return answer, nil
}

// release returns the slot of the limiter and passes the time until half of the shards were covered. The other half
// does not count, so that one shard without a working replica does not lower the limit.
func (e *Engine) release(arrived yuccahinge.Millis, q *run) {
	if e.Limiter == nil {
		return
	}
	now := e.now()
	half, ok := q.gather.HalfCoveredAt()
	if !ok {
		half = now
	}
	e.Limiter.Release(now, q.service, half-arrived, ok)
}

func (e *Engine) validate(r *yuccahinge.SearchRequest) error {
	d := float64(r.DeadlineMs)
	switch {
	case r.Service == "":
		return notRunError(yuccahinge.CodeInvalid, yuccahinge.StepDecode, "the service is missing")
	case math.IsNaN(d) || d < 0:
		return notRunError(yuccahinge.CodeInvalid, yuccahinge.StepDecode, "deadlineMs must not be negative")
	case r.DeadlineMs > e.maxDeadline():
		return notRunError(yuccahinge.CodeInvalid, yuccahinge.StepDecode, "deadlineMs exceeds the limit of "+strconv.FormatFloat(float64(e.maxDeadline()), 'f', -1, 64))
	case len(r.Query) == 0:
		return notRunError(yuccahinge.CodeInvalid, yuccahinge.StepDecode, "the query is missing")
	default:
		return nil
	}
}

// pinState returns the state that the query uses until it ends.
func (e *Engine) pinState(ctx context.Context, arrived yuccahinge.Millis, r *yuccahinge.SearchRequest) (*yuccahinge.State, yuccahinge.Millis, error) {
	if e.Refresh != nil {
		e.Refresh(ctx)
	}
	state, age := e.States.State()
	if state != nil && state.Ticket < r.MinTicket && e.CatchUp != nil {
		e.catchUp(ctx, arrived, r)
		state, age = e.States.State()
	}
	if state == nil {
		return nil, 0, notRunError(yuccahinge.CodeUnavailable, yuccahinge.StepPin, "no ticket is in force on this host yet")
	}
	if state.Ticket < r.MinTicket {
		return nil, 0, notRunError(yuccahinge.CodeUnavailable, yuccahinge.StepPin, "the state in force is older than minTicket")
	}
	return state, age, nil
}

func (e *Engine) catchUp(ctx context.Context, arrived yuccahinge.Millis, r *yuccahinge.SearchRequest) {
	limit := r.DeadlineMs
	if limit == 0 {
		limit = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, (arrived + limit - e.now()).Duration())
	defer cancel()
	// pinState checks the ticket number afterwards, so the error is not needed.
	_ = e.CatchUp(ctx, r.MinTicket)
}

func searchTimeout(r *yuccahinge.SearchRequest, s *yuccahinge.Service) yuccahinge.Millis {
	switch {
	case r.DeadlineMs > 0:
		return r.DeadlineMs
	case s.DeadlineMs > 0:
		return s.DeadlineMs
	default:
		return defaultDeadline
	}
}

func fingerprint(r *yuccahinge.SearchRequest) yuccahinge.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.Service))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Query)
	return yuccahinge.Fingerprint(d.Sum64())
}

func (e *Engine) poisonVerdict(now yuccahinge.Millis, f yuccahinge.Fingerprint) poison.Verdict {
	if e.Quarantine == nil {
		return poison.Clear
	}
	return e.Quarantine.Check(now, f)
}

func (e *Engine) chooseIndex(now yuccahinge.Millis, name yuccahinge.ServiceName, s *yuccahinge.Service) *yuccahinge.Index {
	if e.Versions == nil {
		return &s.Index
	}
	return e.Versions.Choose(now, name, s)
}

func (e *Engine) record(v yuccahinge.Event) {
	if e.Recorder != nil {
		e.Recorder.Record(v)
	}
}

func (e *Engine) now() yuccahinge.Millis {
	if e.Clock != nil {
		return e.Clock.Now()
	}
	return clock.Clock{}.Now()
}

func (e *Engine) returnMargin() yuccahinge.Millis {
	if e.ReturnMarginMs > 0 {
		return e.ReturnMarginMs
	}
	return defaultReturnMarginMs
}

func (e *Engine) maxDeadline() yuccahinge.Millis {
	if e.MaxDeadlineMs > 0 {
		return e.MaxDeadlineMs
	}
	return defaultMaxDeadline
}

// notRunError returns an error for a request of which nothing was sent.
func notRunError(code yuccahinge.Code, step yuccahinge.Step, message string) error {
	return &yuccahinge.Error{Code: code, Step: step, Message: message, Outcome: yuccahinge.NotRun}
}
