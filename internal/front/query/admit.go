package query

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// fullAdmitShare is the share of admitted requests below which the searchers are considered full.
	fullAdmitShare = 0.9
	// unansweredTimeUsed is the RequestLoad.TimeUsed reported for a request that has no answer when one is due.
	unansweredTimeUsed = 1.5
)

// admit refuses a request that the searchers have no room for. While they are full, a late shard is hedged only on
// a searcher with a free slot, because on a full searcher the hedge would displace another call.
func (q *run) admit(now yuccahinge.Millis, f *ForwardRequest) error {
	e := q.engine
	if e.Admission == nil {
		return nil
	}
	decision := e.Admission.Admit(now, &yuccahinge.AdmissionRequest{
		Index:       f.Index.ServicesHash,
		ID:          f.Request,
		Route:       f.Route.Name,
		Priority:    f.Route.Priority,
		ObjectiveMs: f.Route.ObjectiveMs,
		RemainingMs: f.Deadline - now,
		IsPart:      f.IsPart,
	})
	q.searchersFull = decision.AdmittedShare < fullAdmitShare
	if q.searchersFull && e.HasRoom != nil {
		q.gather.HasRoom = func(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
			return e.HasRoom(now, id, q.index.Searchers[id])
		}
	}
	if decision.Admitted || f.IsPart {
		return nil
	}
	retry := decision.RetryAfterMs
	if wait := q.roomIn(now, f); wait > retry {
		retry = spreadRetry(wait, f)
	}
	return &yuccahinge.Error{
		Code:         yuccahinge.CodeUnavailable,
		Step:         yuccahinge.StepAdmit,
		Outcome:      yuccahinge.NotRun,
		Message:      fmt.Sprintf("the searchers have room for %.0f%% of the requests", 100*decision.AdmittedShare),
		RetryAfterMs: retry,
	}
}

// reportLoad reports the load that an admitted request met to the admission, once: when it can be answered or, at the
// latest, when its answer is due and an attempt has ended, which shows whether there are queues. A request canceled by its
// caller before then reports nothing. Neither does a part, because the host that delegated it reports for the whole request.
func (q *run) reportLoad() {
	e, f := q.engine, q.forwardRequest
	if e.Admission == nil || f == nil || f.IsPart || q.loadReported {
		return
	}
	available := e.AnswerBy(f) - f.Arrived
	if available <= 0 {
		return
	}
	now := e.now()
	load := yuccahinge.RequestLoad{
		QueuedShare: q.gather.Load().QueuedShare(),
		// A lookup whose searcher refuses it goes to another one.
		TooManyRefused: f.Route.IsScattered() && q.gather.TooManyRefused(),
		Priority:       f.Route.Priority,
	}
	at, ok := q.gather.MinCoverageAt()
	switch {
	case ok:
		load.TimeUsed = float64((at - f.Arrived) / available)
	case q.gather.Done() || now >= f.Arrived+available && q.gather.Load().Ended > 0:
		load.TimeUsed = unansweredTimeUsed
	default:
		return
	}
	q.loadReported = true
	e.Admission.RecordLoad(now, q.index.ServicesHash, load)
}
