package query

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/poison"
)

// run is one search or forwarded request in progress. The goroutine that calls execute owns it; the goroutines of its
// attempts only call the searcher and send the result to results.
type run struct {
	job

	engine      *Engine
	fingerprint yuccahinge.Fingerprint
	gather      gather.Gather
	results     chan attemptEnd
	cancels     []context.CancelFunc
	// cancelWaits cancels the wait of each attempt for a connection; attempts that were sent continue.
	cancelWaits []context.CancelFunc
	// cancelAll cancels the calls of all attempts; nil before execute.
	cancelAll context.CancelFunc
	// failureResponse is the last response of a searcher that may have run the message and failed, but for those that would
	// make the caller believe that it did not run.
	failureResponse *yuccahinge.HTTPResponse
	// forwardRequest is the forwarded request; nil for a search.
	forwardRequest *ForwardRequest
	// delegatedParts are the parts of the request that other hosts query; partEnds receives their results.
	delegatedParts []part
	partEnds       chan partEnd
	// searchersFull reports whether the admitted share is below fullAdmitShare.
	searchersFull bool
	// messagePrints holds the fingerprints of the forwarded request; zero until they are needed.
	messagePrints [2]yuccahinge.Fingerprint
	// suspect is set if the forwarded request may crash the searchers that run it.
	suspect bool
	// isTracked is set if the engine's ledger has the request.
	isTracked bool
	// answeredAt is when the answer was ready; zero before. completedAtAnswer is set if a searcher had run the request to its end by
	// then.
	answeredAt        yuccahinge.Millis
	completedAtAnswer bool
	// loadReported reports whether the load that the request met was passed to the admission.
	loadReported bool
}

// attemptEnd is the result of one attempt.
type attemptEnd struct {
	attempt  yuccahinge.AttemptID
	searcher yuccahinge.SearcherID
	// sent is the time just before the call.
	sent   yuccahinge.Millis
	result *yuccahinge.ShardResult
}

// prepareSearch initializes the gather of a search with the policy of its service.
func (q *run) prepareSearch(s *yuccahinge.Service, arrived, deadline yuccahinge.Millis, verdict poison.Verdict) {
	e := q.engine
	q.prepare(deadline)
	q.gather.EnoughCoverage = s.EnoughCoverage
	q.gather.MaxHits = s.MaxHits
	q.gather.Suspect = verdict == poison.Suspect
	if s.Preference == yuccahinge.PreferLatency && s.SoftDeadlineMs > 0 {
		q.gather.SoftDeadline = arrived + s.SoftDeadlineMs
	}
	if e.Quarantine != nil {
		q.gather.Proven = e.Quarantine.Proven(q.fingerprint)
		q.gather.Canary = e.Canary && !q.gather.Proven
		q.gather.OnConnectionLost = q.recordLoss
		q.gather.SuspectShard = e.Quarantine.LostShard(q.fingerprint)
	}
}

// prepare initializes what searches and forwarded requests have in common.
func (q *run) prepare(deadline yuccahinge.Millis) {
	e := q.engine
	q.results = make(chan attemptEnd, len(q.index.Shards)+1)
	q.cancels = make([]context.CancelFunc, 0, len(q.index.Shards)+1)
	q.gather = gather.Gather{
		Request:         q.request,
		Service:         q.service,
		Ticket:          q.ticket,
		Index:           q.index,
		Deadline:        deadline,
		Domain:          e.Domain,
		Picker:          e.Picker,
		Room:            e.Room,
		Hedger:          e.Hedger,
		LatencyRecorder: e.LatencyRecorder,
		Observer:        e.Observer,
		RetryBudget:     e.RetryBudget,
		HedgeBudget:     e.HedgeBudget,
		InTrouble:       e.Troubles.InTrouble,
	}
}

// execute carries out the actions of the gather until it is done.
func (q *run) execute(ctx context.Context) error {
	e := q.engine
	left := q.gather.Deadline + callGraceMs - e.now()
	// Calls may outlast the query if FinishHTTP1 lets them finish.
	calls, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
	q.apply(calls, q.gather.Start(e.now()))
	q.cancelAll = cancel
	if !q.gather.Done() {
		q.sendParts(ctx)
	}
	return q.loop(ctx, calls)
}

// finishAttempts lets the attempts in flight finish. The caller must not use the gather afterwards, because another
// goroutine may own it then.
func (q *run) finishAttempts() {
	if q.cancelAll == nil {
		return
	}
	q.answeredAt, q.completedAtAnswer = q.engine.now(), q.gather.Completed()
	if q.gather.InFlight() > 0 {
		go q.awaitInFlight(q.cancelAll, q.checkLostSearcher(false))
		return
	}
	q.cancelAll()
	q.reportCrash(q.checkLostSearcher(true))
}

func (q *run) loop(ctx, calls context.Context) error {
	e := q.engine
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !q.gather.Done() {
		if at, ok := q.gather.NextTick(); ok {
			timer.Reset((at - e.now()).Duration())
		}
		select {
		case r := <-q.results:
			q.apply(calls, q.handleAttemptEnd(r))
		case p := <-q.partEnds:
			q.apply(calls, q.handlePartEnd(p))
		case <-timer.C:
			q.apply(calls, q.gather.Tick(e.now()))
		case <-ctx.Done():
			q.gather.Stop()
			q.handleCallerGone()
			return &yuccahinge.Error{Code: yuccahinge.CodeDeadline, Step: yuccahinge.StepGather, Message: "the request was canceled before the answer", Err: ctx.Err()}
		}
		q.reportLoad()
	}
	return nil
}

// handleAttemptEnd records the result of an attempt and passes it to the policies and the gather.
func (q *run) handleAttemptEnd(r attemptEnd) []gather.Action {
	e := q.engine
	e.observeReply(&r, q.index.Version)
	q.recordAttemptEnd(r)
	if r.result.FailureResponse != nil && !r.result.IsUnprovenRefusal() {
		q.failureResponse = r.result.FailureResponse
	}
	return q.gather.HandleResult(e.now(), r.attempt, r.result)
}

func (q *run) recordLoss(now yuccahinge.Millis, shard yuccahinge.ShardID, id yuccahinge.SearcherID, proven bool) bool {
	verdict, isNew := q.engine.Quarantine.RecordLoss(now, poison.Loss{
		Query:         q.fingerprint,
		Request:       q.request,
		Shard:         shard,
		Searcher:      id,
		OthersReplied: proven,
	})
	if isNew {
		q.engine.publishVerdict(q.job, q.fingerprint, verdict, shard)
	}
	return verdict == poison.Confirmed
}

func (q *run) apply(calls context.Context, actions []gather.Action) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case gather.Send:
			q.send(calls, a)
		case gather.Cancel:
			q.cancel(a)
		}
	}
}

func (q *run) send(calls context.Context, a *gather.Action) {
	e := q.engine
	ctx, cancel := context.WithCancel(calls)
	q.cancels = append(q.cancels, cancel)
	wait, cancelWait := context.WithCancel(ctx)
	q.cancelWaits = append(q.cancelWaits, cancelWait)
	r := &yuccahinge.ShardRequest{
		RequestID:    q.request,
		Attempt:      a.Attempt,
		Service:      q.service,
		Shard:        a.Shard,
		IndexVersion: q.index.Version,
		Ticket:       q.ticket,
		Query:        q.query,
		Calendar:     q.calendar,
		DeadlineMs:   max(0, a.Deadline-e.now()),
		Message:      q.message,
		Abandoned:    wait.Done(),
	}
	q.recordSend(a)
	if e.OnAttempt != nil {
		e.OnAttempt(a.Cause, a.Searcher)
	}
	go q.call(ctx, a.Attempt, a.Searcher, r)
}

func (q *run) call(ctx context.Context, attempt yuccahinge.AttemptID, id yuccahinge.SearcherID, r *yuccahinge.ShardRequest) {
	sent := q.engine.now()
	res := q.engine.Caller.Query(ctx, id, q.index.Searchers[id], r)
	q.results <- attemptEnd{attempt, id, sent, &res}
}

// cancel cancels an attempt that has not been sent. A sent attempt over HTTP/1.1 is canceled only without FinishHTTP1,
// because canceling it closes its connection.
func (q *run) cancel(a *gather.Action) {
	q.cancelWaits[a.Attempt-1]()
	if !q.engine.FinishHTTP1 || q.index.Searchers[a.Searcher].Protocol == yuccahinge.H2C {
		q.cancels[a.Attempt-1]()
	}
}

// cancelAttempts cancels every attempt and every call to a host with delegated shards.
func (q *run) cancelAttempts() {
	for _, cancel := range q.cancels {
		cancel()
	}
	for i := range q.delegatedParts {
		q.delegatedParts[i].cancel()
	}
}

// awaitInFlight waits for the attempts that outlast the query, so that the policies receive their results.
func (q *run) awaitInFlight(cancel context.CancelFunc, lost <-chan lostSearcher) {
	defer cancel()
	for q.gather.InFlight() > 0 {
		r := <-q.results
		q.engine.observeReply(&r, q.index.Version)
		q.gather.HandleResult(q.engine.now(), r.attempt, r.result)
	}
	q.recordLateLoss()
	if lost == nil {
		lost = q.checkLostSearcher(true)
	}
	q.reportCrash(lost)
}

func (q *run) answer() (*yuccahinge.SearchAnswer, error) {
	e := q.engine
	if q.gather.Poisoned() {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodePoisoned, Step: yuccahinge.StepGather, Message: "the query is quarantined because it crashed searchers"}
	}
	answer, duplicates, err := q.gather.Answer()
	if err != nil {
		e.record(yuccahinge.Event{Code: event.InvariantBroken, Request: q.request, Service: q.service, Detail: err.Error()})
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepGather, Message: "the answer violates an invariant", Err: err}
	}
	if e.Quarantine != nil && answer.Outcome == yuccahinge.Complete {
		e.Quarantine.RecordComplete(e.now(), q.fingerprint)
	}
	for _, id := range duplicates {
		e.record(yuccahinge.Event{Code: event.DuplicateHit, Request: q.request, Service: q.service, Detail: string(id)})
	}
	return answer, nil
}

func (q *run) recordSend(a *gather.Action) {
	if q.engine.Recorder == nil || q.engine.OmitAttemptEvents {
		return
	}
	shard := a.Shard
	q.engine.record(yuccahinge.Event{
		Code:     sendCode(a.Cause),
		Request:  q.request,
		Ticket:   q.ticket,
		Service:  q.service,
		Shard:    &shard,
		Attempt:  a.Attempt,
		Searcher: a.Searcher,
	})
}

func sendCode(c gather.Cause) yuccahinge.EventCode {
	switch c {
	case gather.Hedge, gather.Reissue:
		return event.AttemptHedged
	case gather.Retry:
		return event.AttemptRetried
	default:
		return event.AttemptSent
	}
}

func (q *run) recordAttemptEnd(r attemptEnd) {
	if q.engine.Recorder == nil {
		return
	}
	code := event.AttemptEnded
	detail := string(r.result.Outcome) + " " + string(r.result.Reason)
	switch {
	case r.result.Reason == yuccahinge.ReasonInvalid:
		code = event.ReplyInvalid
		if r.result.Err != nil {
			detail += ": " + r.result.Err.Error()
		}
	case r.result.IsUnprovenRefusal():
		code = event.ReplyInvalid
		detail += fmt.Sprintf(": status %d without proof that the request did not run", r.result.FailureResponse.Status)
	}
	if q.engine.OmitAttemptEvents && code == event.AttemptEnded {
		return
	}
	q.engine.record(yuccahinge.Event{
		Code:     code,
		Request:  q.request,
		Service:  q.service,
		Attempt:  r.attempt,
		Searcher: r.searcher,
		Detail:   detail,
	})
}
