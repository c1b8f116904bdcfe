package yuccahinge

import "encoding/json"

// ShardRequest is one attempt at one shard, as a searcher receives it at POST /v1/query.
type ShardRequest struct {
	RequestID    RequestID       `json:"requestId"`
	Attempt      AttemptID       `json:"attempt"`
	Service      ServiceName     `json:"service"`
	Shard        ShardID         `json:"shard"`
	IndexVersion IndexVersion    `json:"indexVersion"`
	Ticket       TicketNumber    `json:"ticket"`
	Query        json.RawMessage `json:"query"`
	Calendar     *Calendar       `json:"calendar,omitempty"`
	DeadlineMs   Millis          `json:"deadlineMs"`
	// Message, if not nil, is forwarded instead of Query.
	Message *HTTPRequest `json:"-"`
	// Abandoned is closed when the reply is no longer needed. An attempt that is still waiting for a connection
	// then ends without being sent. Nil means that the reply is always needed.
	Abandoned <-chan struct{} `json:"-"`
}

// ShardReply is a searcher's reply to a ShardRequest, whose request, attempt, shard and version it echoes.
// Outcome is Ran with hits, or NotRun with a reason.
type ShardReply struct {
	RequestID    RequestID    `json:"requestId"`
	Attempt      AttemptID    `json:"attempt"`
	Shard        ShardID      `json:"shard"`
	IndexVersion IndexVersion `json:"indexVersion"`
	Outcome      Outcome      `json:"outcome"`
	Reason       Reason       `json:"reason,omitempty"`
	Hits         []Hit        `json:"hits,omitempty"`
	Load         LoadReport   `json:"load"`
	// Response is the reply to a forwarded request.
	Response *HTTPResponse `json:"-"`
}

// LoadReport is the load that a searcher reports with each reply and at GET /v1/load.
type LoadReport struct {
	Searcher    SearcherID     `json:"searcher"`
	Incarnation Incarnation    `json:"incarnation"`
	Slots       int            `json:"slots"`
	Running     int            `json:"running"`
	Queued      int            `json:"queued"`
	Draining    bool           `json:"draining,omitempty"`
	Versions    []IndexVersion `json:"versions,omitempty"`
	// SpeedPercent is the time that work takes on the searcher's machine at present, as a percentage of the usual
	// time; zero if unknown.
	SpeedPercent int `json:"speedPercent,omitempty"`
	// MaxRate is the rate of requests that the searcher accepts from all entry hosts together; nil if it names none.
	MaxRate *RequestRate `json:"maxRate,omitempty"`
	// MalformedMaxRate is the quoted text of a maximum rate that can't be decoded; empty if there is none.
	MalformedMaxRate string `json:"-"`
	// WarmupLeftMs is the remaining warm-up time, if the searcher reports it; zero if it is warm or does not.
	WarmupLeftMs Millis `json:"-"`
	// HoldMs is how long the searcher wants no calls from this host; zero if it has not asked for that.
	HoldMs Millis `json:"-"`
	// MalformedHold is the quoted text of a hold that can't be decoded; empty if there is none.
	MalformedHold string `json:"-"`
}

// HasFreeSlot reports whether the report shows a free slot and an empty queue.
func (l *LoadReport) HasFreeSlot() bool { return l.Running < l.Slots && l.Queued == 0 }

// ShardResult is the result of an attempt. Outcome is Ran only with a valid reply.
type ShardResult struct {
	Outcome Outcome
	Reason  Reason
	Reply   *ShardReply
	// Latency is the time from the sending to the end of the attempt.
	Latency Millis
	// FailureResponse is the response of a searcher that failed and may have run a forwarded request.
	FailureResponse *HTTPResponse
	// ClosedUnanswered is set if the searcher closed the connection after the request was sent and before any byte of a
	// response arrived.
	ClosedUnanswered bool
	// MayStillRun is set if this host ended the call after the request was sent and before its response was complete, so that the
	// searcher may go on with it.
	MayStillRun bool
	// ReportWithoutReply is the load report of a response that is no valid reply; nil for none.
	ReportWithoutReply *LoadReport
	Err                error
}

// LoadReport returns the load report that came with the searcher's response, or nil if there is none.
func (r *ShardResult) LoadReport() *LoadReport {
	if r.Reply != nil {
		return &r.Reply.Load
	}
	return r.ReportWithoutReply
}

// Completed reports whether the searcher shows that it ran the attempt to its end: by a valid reply, or by a signed one of
// another status below 500. A searcher may fail without having begun to run the attempt.
func (r *ShardResult) Completed() bool {
	f := r.FailureResponse
	return r.Outcome == Ran || f != nil && f.Signature != "" && f.Status < 500
}

// IsUnprovenRefusal reports whether the status of the searcher's response promises that the request did not run, while nothing
// proves it.
func (r *ShardResult) IsUnprovenRefusal() bool {
	return r.FailureResponse != nil && r.FailureResponse.PromisesNotRun()
}

// DroppedInQueue reports whether the attempt was dropped from this host's own queue. Such a result carries no
// information about the searcher.
func (r *ShardResult) DroppedInQueue() bool {
	return r.Outcome == NotRun && r.Reason == ReasonShed && r.Reply == nil
}

// WasQueued reports whether the attempt was queued here or met a queue at the searcher, or was refused there because of
// its load.
func (r *ShardResult) WasQueued() bool {
	if r.Reply == nil {
		return r.DroppedInQueue()
	}
	return r.Reply.Load.Queued > 0 || r.WasRefused() && !r.RefusedWithoutLoad()
}

// RefusedWithoutLoad reports whether the searcher refused the attempt although its load report shows a free slot and an
// empty queue. A refusal that a maximum rate, a hold or a drain explains doesn't count.
func (r *ShardResult) RefusedWithoutLoad() bool {
	return r.refusedUnexplained() && r.Reply.Load.HasFreeSlot()
}

// RefusedWithShortQueue reports whether the searcher refused the attempt although its load report shows a queue shorter than its
// slots. That is no sign of load at a searcher which is known to refuse without load. A refusal that a maximum rate, a hold or
// a drain explains doesn't count.
func (r *ShardResult) RefusedWithShortQueue() bool {
	return r.refusedUnexplained() && r.Reply.Load.Queued < r.Reply.Load.Slots
}

// refusedUnexplained reports whether the searcher refused the attempt and reports no maximum rate, hold or drain.
func (r *ShardResult) refusedUnexplained() bool {
	if !r.WasRefused() {
		return false
	}
	l := &r.Reply.Load
	return l.MaxRate == nil && l.HoldMs == 0 && !l.Draining
}

// WasRefused reports whether the searcher replied that it did not run the attempt.
func (r *ShardResult) WasRefused() bool {
	return r.Reply != nil && r.Outcome == NotRun && r.Reason == ReasonRefused
}

// ChargeCall is a charge as a searcher receives it at POST /v1/charge.
type ChargeCall struct {
	RequestID  RequestID       `json:"requestId"`
	Service    ServiceName     `json:"service"`
	Claim      ClaimID         `json:"claim"`
	Key        string          `json:"key"`
	Ticket     TicketNumber    `json:"ticket"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadlineMs"`
}

// ChargeReply is a searcher's reply to a ChargeCall. Outcome is Ran or NotRun.
type ChargeReply struct {
	RequestID RequestID       `json:"requestId"`
	Claim     ClaimID         `json:"claim"`
	Outcome   Outcome         `json:"outcome"`
	Reason    Reason          `json:"reason,omitempty"`
	Result    json.RawMessage `json:"result,omitempty"`
	Load      LoadReport      `json:"load"`
}

// ChargeResult is the result of the single attempt of a charge.
type ChargeResult struct {
	Outcome Outcome
	Reason  Reason
	Reply   *ChargeReply
	Err     error
}
