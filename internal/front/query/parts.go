package query

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/front/split"
)

// Delegator delegates some of the shards of a request to other hosts.
type Delegator interface {
	// Split returns the parts of a request that other hosts should query.
	Split(f *ForwardRequest) []split.Part
	// Query sends the request for the delegated shards to their host. An error with the outcome NotRun proves
	// that the host called no searcher.
	Query(ctx context.Context, f *ForwardRequest, p *split.Part) (*ForwardAnswer, error)
	// MayReportLoss asks the host that delegated a part to this one whether to report a loss of the part. An error means that it
	// has not answered.
	MayReportLoss(ctx context.Context, delegatedBy yuccahinge.HostID, l *PartLoss) (bool, error)
}

// part is the set of shards delegated to another host.
type part struct {
	split.Part
	cancel context.CancelFunc
	// answer is nil until the host has answered.
	answer *ForwardAnswer
}

// partEnd is the result of the shards delegated to one host. partIndex is a position in run.delegatedParts.
type partEnd struct {
	partIndex int
	answer    *ForwardAnswer
	err       error
}

// delegate assigns some shards of a request to other hosts. While the searchers are full, this host queries all shards
// itself: it can skip shards that have no room and can still use late replies.
func (q *run) delegate(f *ForwardRequest) {
	if q.engine.Delegator == nil || q.suspect || q.searchersFull || f.IsPart || !f.Route.IsScattered() {
		return
	}
	for _, p := range q.engine.Delegator.Split(f) {
		q.delegatedParts = append(q.delegatedParts, part{Part: p})
		q.gather.Delegated = append(q.gather.Delegated, p.Shards)
	}
}

// sendParts sends each host the request for the shards delegated to it. As with searchers, a call may outlast the
// request, because canceling it would close its connection.
func (q *run) sendParts(ctx context.Context) {
	if len(q.delegatedParts) == 0 {
		return
	}
	q.partEnds = make(chan partEnd, len(q.delegatedParts))
	if e, f := q.engine, q.forwardRequest; e.Crashes != nil {
		q.isTracked = e.ledger.Open(e.now(), f.Deadline+callGraceMs+ledgerGraceMs, f.Request)
	}
	left := q.gather.Deadline - q.engine.now()
	for i := range q.delegatedParts {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
		q.delegatedParts[i].cancel = cancel
		p := q.delegatedParts[i].Part
		go func() {
			defer cancel()
			answer, err := q.engine.Delegator.Query(call, q.forwardRequest, &p)
			q.partEnds <- partEnd{i, answer, err}
		}()
	}
}

// handlePartEnd passes the result of the shards delegated to one host to the gather.
func (q *run) handlePartEnd(p partEnd) []gather.Action {
	now := q.engine.now()
	if p.err == nil && p.answer.PartResult != nil {
		q.delegatedParts[p.partIndex].answer = p.answer
		q.recordPartRoom(now, p.partIndex, p.answer.PartResult)
		return q.gather.HandlePart(now, p.partIndex, p.answer.PartResult)
	}
	var e *yuccahinge.Error
	if errors.As(p.err, &e) && e.Code == yuccahinge.CodePoisoned {
		return q.gather.Stop()
	}
	if errors.As(p.err, &e) && e.Outcome == yuccahinge.NotRun {
		return q.gather.ReclaimPart(now, p.partIndex)
	}
	return q.gather.HandlePartLost(now, p.partIndex, yuccahinge.ReasonUnreachable)
}
