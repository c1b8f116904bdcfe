package query

import (
	"context"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/merge"
)

const (
	// callerGoneGraceMs is how long calls may continue after the caller disconnected. Most finish in this time and keep
	// their connections open; a longer call wastes a searcher's slot.
	callerGoneGraceMs yuccahinge.Millis = 250
	// writeMs is the time to merge and write an answer on a slow host.
	writeMs yuccahinge.Millis = 4
	// fullRetryMs is the retry delay if the searchers were full while the admission admits at least half of the class of the
	// request. Otherwise the delay is the whole remaining time.
	fullRetryMs yuccahinge.Millis = 60
	// unreachableRetryMs is the retry delay if this host reaches too few searchers, or if they reject requests without load. It
	// is short because the balancer sends the retry to another host.
	unreachableRetryMs yuccahinge.Millis = 10
)

// ForwardRequest is a caller's request whose message is sent to the searchers unchanged.
type ForwardRequest struct {
	Request yuccahinge.RequestID
	Ticket  yuccahinge.TicketNumber
	Route   *yuccahinge.Route
	// Index holds a shard for each service of the route, or one for a lookup.
	Index   *yuccahinge.Index
	Message *yuccahinge.HTTPRequest
	// Caller is the caller's network address, without the port; empty if unknown.
	Caller  string
	Arrived yuccahinge.Millis
	// CallerOneWayMs is the one-way network delay to the caller; zero if unknown.
	CallerOneWayMs yuccahinge.Millis
	// NewConnection reports whether the request is the first of its connection.
	NewConnection bool
	// AnswerBy is when the answer is to be sent; zero derives it from the route's objective.
	AnswerBy yuccahinge.Millis
	// Deadline is when the caller stops waiting.
	Deadline yuccahinge.Millis
	// IsPart reports whether another host delegated some shards of its request; Index then holds only these shards. The
	// other host has admitted the request and decides whether enough shards replied.
	IsPart bool
	// DelegatedBy is the host that delegated a part.
	DelegatedBy yuccahinge.HostID
}

// ForwardAnswer is the answer to a ForwardRequest.
type ForwardAnswer struct {
	// Response is the searcher's response to a lookup; nil for a scattered request. It may be a failure, but none whose status
	// promises that the request did not run.
	Response *yuccahinge.HTTPResponse
	// Records are the top records of all replies, Signatures the signatures of these replies, and Missing the number of
	// shards without a reply.
	Records    []byte
	Signatures []string
	Missing    int
	// PartResult lists the lacking shards and the load that the attempts met; nil unless the request was a part.
	PartResult *gather.PartResult
}

// Forward sends a request to the searchers of its route. The error is a *yuccahinge.Error; its Outcome is NotRun only if
// no searcher ran the request or will run it.
func (e *Engine) Forward(ctx context.Context, f *ForwardRequest) (*ForwardAnswer, error) {
	q := &run{engine: e, forwardRequest: f, job: job{
		request: f.Request,
		service: yuccahinge.ServiceName(f.Route.Name),
		ticket:  f.Ticket,
		index:   f.Index,
		message: f.Message,
	}}
	defer q.finishAttempts()
	answer, err := q.forward(ctx, f)
	if e.Recorder != nil {
		e.record(q.endEvent(f, answer, err))
	}
	return answer, err
}

func (q *run) forward(ctx context.Context, f *ForwardRequest) (*ForwardAnswer, error) {
	e := q.engine
	now := e.now()
	if now >= f.Deadline-e.returnMargin() {
		return nil, notRunError(yuccahinge.CodeDeadline, yuccahinge.StepPin, "the deadline passed before the request started")
	}
	if err := q.checkCrashes(now); err != nil {
		return nil, err
	}
	if !f.IsPart && !e.CanServe(now, f.Index, f.Route.MinCoverage) {
		err := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin, Outcome: yuccahinge.NotRun}
		err.Message = "too few shards have a searcher within reach"
		err.RetryAfterMs = unreachableRetryMs
		return nil, err
	}
	q.prepareForward(f, e.returnMargin())
	if err := q.admit(now, f); err != nil {
		return nil, err
	}
	q.delegate(f)
	if err := q.checkRoom(now, f); err != nil {
		return nil, err
	}
	if err := q.execute(ctx); err != nil {
		return nil, err
	}
	return q.forwardAnswer(f)
}

// AnswerBy returns when the answer to a scattered request is to be sent.
func (e *Engine) AnswerBy(f *ForwardRequest) yuccahinge.Millis {
	if f.AnswerBy > 0 {
		return f.AnswerBy
	}
	return f.Arrived + f.Route.ObjectiveMs - e.leadTime(f)
}

// leadTime returns how long before the route's objective the answer is to be sent. The objective starts when the caller
// begins to connect, so it includes the one-way delays of the request and the answer, and on a new connection those of
// the handshake.
func (e *Engine) leadTime(f *ForwardRequest) yuccahinge.Millis {
	delay := f.CallerOneWayMs
	if delay <= 0 {
		delay = e.CallerOneWayMs
	}
	trips := yuccahinge.Millis(2)
	if f.NewConnection {
		trips = 4
	}
	return trips*delay + writeMs
}

// CanServe reports whether enough shards have a reachable searcher for an answer.
func (e *Engine) CanServe(now yuccahinge.Millis, ix *yuccahinge.Index, minCoverage yuccahinge.ShardShare) bool {
	n := shardsWithSearcher(ix)
	if e.ReachableShards != nil {
		n = e.ReachableShards(now, ix)
	}
	return n >= minCoverage.Of(len(ix.Shards))
}

// shardsWithSearcher returns the number of shards that have a searcher.
func shardsWithSearcher(ix *yuccahinge.Index) int {
	n := 0
	for i := range ix.Shards {
		if len(ix.Shards[i].Searchers) > 0 {
			n++
		}
	}
	return n
}

// prepareForward initializes the gather with the policy of the route.
func (q *run) prepareForward(f *ForwardRequest, returnMargin yuccahinge.Millis) {
	q.prepare(f.Deadline - returnMargin)
	g := &q.gather
	g.MaxAttempts = f.Route.Attempts
	g.AtMostOnce = f.Route.RetrySafety != yuccahinge.Idempotent
	g.NoReissue = true
	g.Proven = true
	g.MinCoverage = f.Route.MinCoverage
	if q.suspect {
		g.Suspect = true
		g.SuspectShard = q.trialShard(f)
		g.OnConnectionLost = func(yuccahinge.Millis, yuccahinge.ShardID, yuccahinge.SearcherID, bool) bool { return true }
	}
	if !f.Route.IsScattered() {
		return
	}
	g.HoldLost = true
	g.IsPart = f.IsPart
	g.EnoughCoverage = f.Route.MinCoverage
	g.SoftDeadline = q.engine.AnswerBy(f)
	if !f.IsPart {
		g.Estimator = q.engine.Estimator
	}
}

// forwardAnswer returns the answer after the gather is done.
func (q *run) forwardAnswer(f *ForwardRequest) (*ForwardAnswer, error) {
	if f.IsPart {
		out := q.mergeAnswer(f.Route.MaxRecords)
		out.PartResult = q.gather.PartResult(q.engine.now())
		return out, nil
	}
	if f.Route.IsScattered() {
		if q.gather.Covered() >= f.Route.MinCoverage.Of(len(q.index.Shards)) {
			return q.mergeAnswer(f.Route.MaxRecords), nil
		}
		return nil, q.noAnswerError(f)
	}
	out := &ForwardAnswer{Response: q.failureResponse}
	q.gather.EachReply(func(_ *yuccahinge.Shard, r *yuccahinge.ShardReply) { out.Response = r.Response })
	if out.Response == nil {
		return nil, q.noAnswerError(f)
	}
	return out, nil
}

// mergeAnswer merges the replies of this host's calls and of the delegated parts.
func (q *run) mergeAnswer(maxRecords int) *ForwardAnswer {
	n := q.gather.Covered()
	out := &ForwardAnswer{Signatures: make([]string, 0, n), Missing: len(q.index.Shards) - n}
	parts := make([][]byte, 0, n)
	for _, p := range q.delegatedParts {
		if p.answer != nil {
			out.Signatures = append(out.Signatures, p.answer.Signatures...)
			parts = append(parts, p.answer.Records)
		}
	}
	q.gather.EachReply(func(_ *yuccahinge.Shard, r *yuccahinge.ShardReply) {
		out.Signatures = append(out.Signatures, r.Response.Signature)
		parts = append(parts, r.Response.Body)
	})
	out.Records = merge.TopRecords(maxRecords, parts)
	return out
}

// noAnswerError returns an error with the reason for the missing answer, and with a retry delay if the request did not
// run.
func (q *run) noAnswerError(f *ForwardRequest) error {
	err := &yuccahinge.Error{
		Code:    yuccahinge.CodeUnavailable,
		Step:    yuccahinge.StepGather,
		Message: string(q.gather.FirstLackingReason()),
		Outcome: yuccahinge.Unknown,
	}
	switch {
	case q.gather.NoneRan():
		err.Outcome = yuccahinge.NotRun
		err.RetryAfterMs = fullRetryMs
		switch {
		case q.gather.AttemptsSent() == 0, q.gather.OnlyRejected():
			err.RetryAfterMs = unreachableRetryMs
		case q.searchersFull:
			// As for requests that the admission refuses.
			err.RetryAfterMs = max(fullRetryMs, f.Deadline-q.engine.now())
		}
		if wait := q.roomIn(q.engine.now(), f); wait > 0 {
			err.RetryAfterMs = spreadRetry(wait, f)
		}
	case q.engine.now() >= q.gather.Deadline:
		err.Code = yuccahinge.CodeDeadline
	}
	if f.Route.IsScattered() {
		err.Step = yuccahinge.StepScatter
	}
	return err
}

// handleCallerGone ends the calls of a request whose caller has disconnected. Unsent attempts end at once and sent ones
// after callerGoneGraceMs, except that sent attempts of an at-most-once request run on and that those of a search are
// canceled at once.
func (q *run) handleCallerGone() {
	if q.message == nil {
		q.cancelAttempts()
		return
	}
	for _, cancel := range q.cancelWaits {
		cancel()
	}
	if !q.gather.AtMostOnce {
		time.AfterFunc(callerGoneGraceMs.Duration(), q.cancelAttempts)
	}
}
