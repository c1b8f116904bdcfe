package query

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/crash"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// ledgerGraceMs is how long after the last attempt of a request can end another host may ask whether to report a loss by it.
	ledgerGraceMs = 3 * yuccahinge.Second
	// askGraceMs is how long after that end the host that delegated a part may answer.
	askGraceMs yuccahinge.Millis = 500
)

// PartLoss is the loss of a searcher by a part of a request, of which no attempt ran to its end.
type PartLoss struct {
	Request      yuccahinge.RequestID
	Fingerprints [2]yuccahinge.Fingerprint
	// Services is the ServicesHash of the request's index.
	Services uint64
	// SentAt is when the request was sent to the searcher.
	SentAt yuccahinge.Millis
}

// evidence is what shows that a searcher ended by a request.
type evidence string

const (
	// noEvidence is that of a call which this host ended until a check shows more.
	noEvidence evidence = "none"
	// closedConnection means that the searcher closed the connection before it responded.
	closedConnection evidence = "closed"
	// goneAddress means that no process serves the searcher's address any more.
	goneAddress evidence = "gone"
	// aliveAfterCall means that this host ended the call, and that the searcher responded to a request sent after that. Its end is
	// yet to come.
	aliveAfterCall evidence = "alive"
)

// lostSearcher is a searcher that a request which none has run to its end may have ended.
type lostSearcher struct {
	id yuccahinge.SearcherID
	// sentAt is when the attempt was sent, and lostAt when its connection was closed or this host ended the call.
	sentAt, lostAt yuccahinge.Millis
	evidence       evidence
}

// lossReport reports the loss of a searcher after the end of the run that has seen it. It keeps neither the request's message nor its
// index.
type lossReport struct {
	engine  *Engine
	service yuccahinge.ServiceName
	loss    PartLoss
	// isTracked is set if the engine's ledger had the request when its attempts ended.
	isTracked   bool
	isPart      bool
	delegatedBy yuccahinge.HostID
	deadline    yuccahinge.Millis
}

func (q *run) newLossReport() *lossReport {
	f := q.forwardRequest
	return &lossReport{
		engine: q.engine, service: q.service,
		loss:      PartLoss{Request: f.Request, Fingerprints: q.fingerprints(), Services: q.index.ServicesHash},
		isTracked: q.isTracked, isPart: f.IsPart, delegatedBy: f.DelegatedBy, deadline: f.Deadline,
	}
}

// report passes the loss to Crashes unless the host that took the request has reason not to.
func (r *lossReport) report(lost lostSearcher) {
	e := r.engine
	if lost.evidence == noEvidence {
		return
	}
	if lost.evidence == goneAddress {
		e.publishCrash(yuccahinge.Event{Searcher: lost.id}, e.Crashes.RecordEnd(e.now(), lost.lostAt, lost.id))
	}
	r.loss.SentAt = lost.sentAt
	v := yuccahinge.Event{Request: r.loss.Request, Service: r.service, Searcher: lost.id}
	if !r.isPermitted() {
		v.Code = event.LossReportDenied
		e.record(v)
		return
	}
	for _, fp := range r.loss.Fingerprints {
		l := crash.Loss{
			Fingerprint: fp, Services: r.loss.Services, Searcher: lost.id,
			SentAt: lost.sentAt, LostAt: lost.lostAt, Unfinished: lost.evidence == aliveAfterCall,
		}
		e.publishCrash(v, e.Crashes.RecordLoss(e.now(), l))
	}
}

// isPermitted reports whether this host may report the loss. If the host that delegated a part does not answer, this one may.
func (r *lossReport) isPermitted() bool {
	e, now := r.engine, r.engine.now()
	switch {
	case r.isPart && e.Delegator != nil:
		ctx, cancel := context.WithTimeout(context.Background(), (max(0, r.deadline+callGraceMs-now) + askGraceMs).Duration())
		defer cancel()
		permitted, err := e.Delegator.MayReportLoss(ctx, r.delegatedBy, &r.loss)
		return permitted || err != nil
	case r.isTracked:
		first, tracked := e.ledger.Claim(now, r.loss.Request)
		return first || !tracked
	default:
		return true
	}
}

// MayReportLoss reports whether the host of a part may report the loss of a searcher by it: no searcher has run the request to its
// end, and no other loss by it is being reported. It waits for the end of the request's attempts on this host. The error is that of
// ctx.
func (e *Engine) MayReportLoss(ctx context.Context, l *PartLoss) (bool, error) {
	if ended, ok := e.ledger.Ended(e.now(), l.Request); ok {
		select {
		case <-ended:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	if first, tracked := e.ledger.Claim(e.now(), l.Request); tracked {
		return first, nil
	}
	for _, fp := range l.Fingerprints {
		if e.Crashes != nil && e.Crashes.HasResponseSince(l.SentAt, fp, l.Services) {
			return false, nil
		}
	}
	return true, nil
}
