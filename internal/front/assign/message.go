package assign

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
)

// Request is a scattered request sent from one host to another. AnswerMs and DeadlineMs count from its receipt because
// the clocks of hosts differ.
type Request struct {
	Request     yuccahinge.RequestID    `json:"request"`
	Ticket      yuccahinge.TicketNumber `json:"ticket"`
	Index       uint64                  `json:"index"`
	Route       yuccahinge.RouteName    `json:"route"`
	MaxRecords  int                     `json:"maxRecords"`
	MinCoverage yuccahinge.ShardShare   `json:"leastShare"`
	Attempts    int                     `json:"attempts"`
	Priority    int                     `json:"priority,omitempty"`
	ObjectiveMs yuccahinge.Millis       `json:"objectiveMs,omitempty"`
	AnswerMs    yuccahinge.Millis       `json:"answerMs"`
	DeadlineMs  yuccahinge.Millis       `json:"deadlineMs"`
	Message     *yuccahinge.HTTPRequest `json:"message"`
	Caller      string                  `json:"caller,omitempty"`
	// Shards are the positions of the delegated shards; empty for a whole request. With delegated shards, the sender
	// decides whether enough shards replied.
	Shards []int `json:"shards,omitempty"`
	// From is the host that delegated the shards; empty for a whole request.
	From yuccahinge.HostID `json:"from,omitempty"`

	answerBy, deadline yuccahinge.Millis // at the sender
}

var _ yuccahinge.TimedMessage = (*Request)(nil)

// SetSendTime implements yuccahinge.TimedMessage.
func (r *Request) SetSendTime(now yuccahinge.Millis) {
	r.AnswerMs = r.answerBy - now
	r.DeadlineMs = r.deadline - now
}

// Reply is the result of a Request.
type Reply struct {
	Records    []byte   `json:"records,omitempty"`
	Signatures []string `json:"signatures,omitempty"`
	Missing    int      `json:"missing,omitempty"`
	// Part lists the lacking shards of a part and the load that its attempts met; nil for a whole request.
	Part *gather.PartResult `json:"part,omitempty"`
	// Problem is the error of a request without an answer.
	Problem *Problem `json:"problem,omitempty"`
	// CannotServe reports that the host reaches too few searchers to serve such requests well.
	CannotServe bool `json:"cannotServe,omitempty"`
}

// Problem is an error in a Reply.
type Problem struct {
	Code         yuccahinge.Code    `json:"code"`
	Step         yuccahinge.Step    `json:"step"`
	Message      string             `json:"message"`
	Outcome      yuccahinge.Outcome `json:"outcome"`
	RetryAfterMs yuccahinge.Millis  `json:"retryAfterMs,omitempty"`
}

// newRequest returns the request for another host, which is to answer by answerBy.
func newRequest(f *query.ForwardRequest, now, answerBy yuccahinge.Millis) *Request {
	r := &Request{
		Request:     f.Request,
		Ticket:      f.Ticket,
		Index:       f.Index.ServicesHash,
		Route:       f.Route.Name,
		MaxRecords:  f.Route.MaxRecords,
		MinCoverage: f.Route.MinCoverage,
		Attempts:    f.Route.Attempts,
		Priority:    f.Route.Priority,
		ObjectiveMs: f.Route.ObjectiveMs,
		Message:     f.Message,
		Caller:      f.Caller,

		answerBy: answerBy,
		deadline: f.Deadline,
	}
	r.SetSendTime(now)
	return r
}

// toForward returns the request, which was received at an instant, in the form that the engine of this host runs.
func (r *Request) toForward(received yuccahinge.Millis, ix *yuccahinge.Index) *query.ForwardRequest {
	shards := make([]yuccahinge.ServiceName, len(ix.Shards))
	for i := range ix.Shards {
		shards[i] = ix.Shards[i].Service
	}
	return &query.ForwardRequest{
		Request: r.Request,
		Ticket:  r.Ticket,
		Route: &yuccahinge.Route{
			Name:        r.Route,
			RetrySafety: yuccahinge.Idempotent,
			Shards:      shards,
			MaxRecords:  r.MaxRecords,
			MinCoverage: r.MinCoverage,
			Attempts:    r.Attempts,
			Priority:    r.Priority,
			ObjectiveMs: r.ObjectiveMs,
		},
		IsPart:      len(r.Shards) > 0,
		DelegatedBy: r.From,
		Index:       ix,
		Message:     r.Message,
		Caller:      r.Caller,
		Arrived:     received,
		AnswerBy:    received + r.AnswerMs,
		Deadline:    received + r.DeadlineMs,
	}
}

func newReply(answer *query.ForwardAnswer, err error) *Reply {
	if err == nil {
		return &Reply{Records: answer.Records, Signatures: answer.Signatures, Missing: answer.Missing, Part: answer.PartResult}
	}
	p := &Problem{Code: yuccahinge.CodeInternal, Message: err.Error(), Outcome: yuccahinge.Unknown}
	var e *yuccahinge.Error
	if errors.As(err, &e) {
		p = &Problem{Code: e.Code, Step: e.Step, Message: e.Message, Outcome: e.Outcome, RetryAfterMs: e.RetryAfterMs}
	}
	return &Reply{Problem: p}
}

func (r *Reply) answer() (*query.ForwardAnswer, error) {
	if p := r.Problem; p != nil {
		return nil, &yuccahinge.Error{Code: p.Code, Step: p.Step, Message: p.Message, Outcome: p.Outcome, RetryAfterMs: p.RetryAfterMs}
	}
	return &query.ForwardAnswer{Records: r.Records, Signatures: r.Signatures, Missing: r.Missing, PartResult: r.Part}, nil
}
