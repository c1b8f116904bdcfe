package query

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/call/reject"
	"github.com/yuccahinge/yuccahinge/poison"
)

// drainNoticeMs is the TTL of a notice that a searcher is draining.
const drainNoticeMs = 60 * yuccahinge.Second

// ApplyNotice applies a notice from another host to Quarantine, Crashes, Departures or Troubles. It records an event if the notice confirms a
// quarantine or marks a searcher as draining.
func (e *Engine) ApplyNotice(n yuccahinge.Notice) {
	if e.Crashes != nil {
		switch n.Kind {
		case yuccahinge.NoticePoisoned, yuccahinge.NoticeCrash, yuccahinge.NoticeLost, yuccahinge.NoticeHarmless:
			e.applyCrashNotice(n)
			return
		}
	}
	switch n.Kind {
	case yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
		if e.Quarantine != nil && e.Quarantine.ApplyNotice(e.now(), n) {
			e.record(yuccahinge.Event{Code: event.QueryQuarantined, Detail: "heard " + n.Key})
		}
	case yuccahinge.NoticeRejecting:
		e.Troubles.Mark(e.now(), yuccahinge.SearcherID(n.Key), n.Incarnation, n.TTLMs)
	case yuccahinge.NoticeDraining:
		if e.Departures != nil && e.Departures.MarkDraining(e.now(), yuccahinge.SearcherID(n.Key), n.Incarnation) {
			e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key), Detail: "heard"})
		}
	}
}

// publishVerdict records a confirmed verdict and sends the verdict on a query to the other hosts.
func (e *Engine) publishVerdict(j job, f yuccahinge.Fingerprint, v poison.Verdict, shard yuccahinge.ShardID) {
	n := e.Quarantine.Notice(f, v, shard)
	if v == poison.Confirmed {
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Request: j.request, Service: j.service, Detail: n.Key})
	}
	if e.Gossip != nil {
		e.Gossip.Broadcast(n)
	}
}

// observeReply passes the load, liveness and missing index version that a reply reports to the policies.
func (e *Engine) observeReply(end *attemptEnd, version yuccahinge.IndexVersion) {
	id, r := end.searcher, end.result
	if report := r.LoadReport(); report != nil {
		e.RecordReport(end.sent, id, report)
		if e.Crashes != nil {
			e.Crashes.RecordAlive(end.sent, id)
		}
	}
	if e.Troubles.Observe(e.now(), id, r) {
		e.publishTrouble(id, r.Reply.Load.Incarnation)
	}
	if r.Reply == nil {
		return
	}
	if e.Quarantine != nil {
		e.Quarantine.RecordReply(id)
	}
	if e.Versions != nil && r.Reason == yuccahinge.ReasonVersionUnavailable {
		e.Versions.RecordMissing(id, version)
	}
}

// RecordReport processes a searcher's load report, which came with a reply or was fetched separately. The time sent is
// just before the call.
func (e *Engine) RecordReport(sent yuccahinge.Millis, id yuccahinge.SearcherID, l *yuccahinge.LoadReport) {
	if e.Versions != nil {
		e.Versions.RecordReport(id, l)
	}
	if e.Departures != nil && e.Departures.RecordReport(e.now(), sent, id, l) {
		e.publishDraining(id, l.Incarnation)
	}
}

func (e *Engine) publishDraining(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: id})
	if e.Gossip != nil {
		e.Gossip.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: string(id), Incarnation: incarnation, TTLMs: drainNoticeMs})
	}
}

func (e *Engine) publishTrouble(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	e.record(yuccahinge.Event{Code: event.SearcherRejects, Searcher: id})
	if e.Gossip != nil {
		e.Gossip.Broadcast(yuccahinge.Notice{Kind: yuccahinge.NoticeRejecting, Key: string(id), Incarnation: incarnation, TTLMs: reject.TroubleMs})
	}
}
