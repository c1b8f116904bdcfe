package query

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/poison"
)

const (
	// goneCheckDelayMs is the time after a lost connection until its searcher is checked. A process that ends may close its
	// connections a moment before its listener.
	goneCheckDelayMs yuccahinge.Millis = 50
	// goneCheckTimeoutMs bounds a check.
	goneCheckTimeoutMs yuccahinge.Millis = 500
	// aliveCheckTimeoutMs bounds a check of a searcher whose call this host has ended.
	aliveCheckTimeoutMs yuccahinge.Millis = 400
	// maxGoneChecks bounds the checks in progress, so that an outage of many searchers costs little. The ends of those that are
	// not checked become known from the list of searchers.
	maxGoneChecks = 8
	// maxAliveChecks bounds the checks in progress of searchers whose calls this host has ended. No loss is reported of those that
	// are not checked.
	maxAliveChecks = 8
)

// checkCrashes refuses a request that crashes searchers, and notes one that may.
func (q *run) checkCrashes(now yuccahinge.Millis) error {
	e := q.engine
	if e.Crashes == nil || e.Crashes.IsEmpty() {
		return nil
	}
	for _, fp := range q.fingerprints() {
		verdict, notice := e.Crashes.Check(now, fp)
		e.broadcast(notice)
		q.suspect = q.suspect || verdict == poison.Suspect
		if verdict == poison.Confirmed || verdict == poison.Cooldown {
			return &yuccahinge.Error{
				Code:         yuccahinge.CodePoisoned,
				Step:         yuccahinge.StepAdmit,
				Message:      "the request is quarantined because it crashed searchers",
				Outcome:      yuccahinge.NotRun,
				RetryAfterMs: e.Crashes.RetryIn(now, fp),
			}
		}
	}
	return nil
}

// fingerprints returns the fingerprints of the request. Requests of one fingerprint may be retries of each other: those
// with the same host, method, target and body, and of these the ones with the same caller.
func (q *run) fingerprints() [2]yuccahinge.Fingerprint {
	if q.messagePrints != [2]yuccahinge.Fingerprint{} {
		return q.messagePrints
	}
	f := q.forwardRequest
	var d xxhash.Digest
	d.Reset()
	for _, text := range [...]string{f.Message.Host, f.Message.Method, f.Message.Target} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(f.Message.Body)
	q.messagePrints[0] = yuccahinge.Fingerprint(d.Sum64())
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(f.Caller)
	q.messagePrints[1] = yuccahinge.Fingerprint(d.Sum64())
	return q.messagePrints
}

// trialShard returns the shard at which a suspect request runs first. It differs between the retries of a request, so that
// they do not crash all replicas of one shard.
func (q *run) trialShard(f *ForwardRequest) yuccahinge.ShardID {
	shards := q.index.Shards
	if len(shards) == 0 {
		return 0
	}
	return shards[xxhash.Sum64String(string(f.Request))%uint64(len(shards))].ID
}

// checkLostSearcher starts a check of the searcher that a request which none has run to its end may have ended: one that closed its
// connection or, if all attempts have ended, one whose call this host ended. The channel receives the result. It is nil if there is no
// such searcher.
func (q *run) checkLostSearcher(allEnded bool) <-chan lostSearcher {
	e, f := q.engine, q.forwardRequest
	if e.Crashes == nil || f == nil || q.gather.Completed() {
		return nil
	}
	lost := lostSearcher{evidence: closedConnection}
	var ok bool
	lost.id, lost.sentAt, lost.lostAt, ok = q.gather.LostSearcher()
	if !ok && allEnded && e.IsAlive != nil && !q.isUnlikelyCause() {
		lost.evidence = noEvidence
		lost.id, lost.sentAt, lost.lostAt, ok = q.gather.UnfinishedSearcher()
	}
	searcher := q.index.Searchers[lost.id]
	if !ok || searcher == nil {
		return nil
	}
	checked := make(chan lostSearcher, 1)
	checks, most := &e.goneChecks, int32(maxGoneChecks)
	if lost.evidence == noEvidence {
		checks, most = &e.aliveChecks, maxAliveChecks
	}
	if checks.Add(1) > most {
		checks.Add(-1)
		checked <- lost
		return checked
	}
	service := serviceOf(q.index, lost.id)
	since := e.now()
	go func() {
		defer checks.Add(-1)
		if lost.evidence == noEvidence {
			lost.evidence = e.checkUnfinished(searcher, lost.id, service)
		} else if e.isGone(searcher, since) {
			lost.evidence = goneAddress
		}
		checked <- lost
	}()
	return checked
}

// isUnlikelyCause reports whether the request is an unlikely cause of ends of searchers that come after the calls to them.
func (q *run) isUnlikelyCause() bool {
	now, prints := q.engine.now(), q.fingerprints()
	return slices.ContainsFunc(prints[:], func(fp yuccahinge.Fingerprint) bool {
		return q.engine.Crashes.IsUnlikelyCause(now, fp, q.index.ServicesHash)
	})
}

// serviceOf returns the service of a searcher of an index.
func serviceOf(ix *yuccahinge.Index, id yuccahinge.SearcherID) yuccahinge.ServiceName {
	for i := range ix.Shards {
		if slices.Contains(ix.Shards[i].Searchers, id) {
			return ix.Shards[i].Service
		}
	}
	return ""
}

// checkUnfinished returns what a request to a searcher shows after this host has ended a call to it. A searcher that does not respond in
// time may have been silent before the call, so that its end has another cause.
func (e *Engine) checkUnfinished(s *yuccahinge.Searcher, id yuccahinge.SearcherID, service yuccahinge.ServiceName) evidence {
	since := e.now()
	ctx, cancel := context.WithTimeout(context.Background(), aliveCheckTimeoutMs.Duration())
	defer cancel()
	switch {
	case e.IsAlive(ctx, id, s, service):
		return aliveAfterCall
	case ctx.Err() == nil && e.isGone(s, since):
		return goneAddress
	default:
		return noEvidence
	}
}

// isGone reports whether a searcher has ended since the given time.
func (e *Engine) isGone(s *yuccahinge.Searcher, since yuccahinge.Millis) bool {
	if e.IsGone == nil {
		return true
	}
	time.Sleep(goneCheckDelayMs.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), goneCheckTimeoutMs.Duration())
	defer cancel()
	return e.IsGone(ctx, s, since)
}

// reportCrash is called at the end of all attempts. It records that a searcher ran the request to its end, or reports the loss of one
// if none did.
func (q *run) reportCrash(checked <-chan lostSearcher) {
	e, f := q.engine, q.forwardRequest
	if e.Crashes == nil || f == nil {
		return
	}
	if q.gather.Completed() {
		// The answer to a part has told the host that delegated it.
		if !f.IsPart || !q.completedAtAnswer {
			q.recordResponse()
		}
		if q.isTracked {
			e.ledger.Complete(f.Request)
		}
		return
	}
	if q.isTracked {
		e.ledger.End(f.Request)
	}
	if checked != nil {
		r := q.newLossReport()
		go func() { r.report(<-checked) }()
	}
}

// recordResponse records that a searcher ran the request to its end.
func (q *run) recordResponse() {
	now := q.engine.now()
	for _, fp := range q.fingerprints() {
		if q.engine.Crashes.RecordResponse(now, fp, q.index.ServicesHash) {
			q.engine.record(yuccahinge.Event{Code: event.CrashCleared, Request: q.request, Service: q.service, Detail: fp.String()})
		}
	}
}

// recordLateLoss records an event if an attempt that outlasted the answer shows that its searcher may have been lost by a request that
// none has run to its end.
func (q *run) recordLateLoss() {
	e, f := q.engine, q.forwardRequest
	if e.Crashes == nil || f == nil || q.gather.Completed() {
		return
	}
	how := "closed"
	id, _, at, ok := q.gather.LostSearcher()
	if !ok || at < q.answeredAt {
		how = "unfinished"
		id, _, at, ok = q.gather.UnfinishedSearcher()
	}
	if !ok || at < q.answeredAt {
		return
	}
	detail := fmt.Sprintf("%s %.0f ms after the answer", how, float64(at-q.answeredAt))
	if f.IsPart {
		detail += " to a part"
	}
	e.record(yuccahinge.Event{Code: event.LossAfterAnswer, Request: q.request, Service: q.service, Searcher: id, Detail: detail})
}

// RecordEnds records that searchers have ended some seconds ago at most, and reports the requests whose connections they closed
// shortly before.
func (e *Engine) RecordEnds(ids ...yuccahinge.SearcherID) {
	if e.Crashes == nil {
		return
	}
	for _, id := range ids {
		e.publishCrash(yuccahinge.Event{Searcher: id}, e.Crashes.RecordEnd(e.now(), 0, id))
	}
}

// publishCrash sends the notices of Crashes to the other hosts and records an event for each.
func (e *Engine) publishCrash(v yuccahinge.Event, notices []yuccahinge.Notice) {
	for i := range notices {
		v.Detail = notices[i].Key
		switch notices[i].Kind {
		case yuccahinge.NoticePoisoned:
			v.Code = event.QueryQuarantined
		case yuccahinge.NoticeCrash:
			v.Code = event.CrashSuspected
		default:
			v.Code = event.CrashUnproven
		}
		e.record(v)
		e.broadcast(&notices[i])
	}
}

// applyCrashNotice applies a notice of another host about a request that crashes searchers.
func (e *Engine) applyCrashNotice(n yuccahinge.Notice) {
	confirmed, reply := e.Crashes.ApplyNotice(e.now(), n)
	if confirmed {
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Detail: "heard " + n.Key})
	}
	e.broadcast(reply)
}

// broadcast sends a notice to the other hosts unless it is nil.
func (e *Engine) broadcast(n *yuccahinge.Notice) {
	if n != nil && e.Gossip != nil {
		e.Gossip.Broadcast(*n)
	}
}
