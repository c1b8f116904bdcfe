package query

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/poison"
)

// drainNoticeMs is how long a notice of a leaving searcher stands.
const drainNoticeMs = 60 * yuccahinge.Second

// Hear takes a notice from another host.
func (e *Engine) Hear(n yuccahinge.Notice) {
	switch n.Kind {
	case yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
		if e.Poison != nil && e.Poison.Hear(e.now(), n) {
			e.record(yuccahinge.Event{Code: event.QueryQuarantined, Detail: "heard " + n.Key})
		}
	case yuccahinge.NoticeDraining:
		if e.Leave != nil && e.Leave.Mark(e.now(), yuccahinge.SearcherID(n.Key), n.Incarnation) {
			e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key), Detail: "heard"})
		}
	}
}

// tellOf records and spreads what is held against a query.
func (e *Engine) tellOf(j job, f yuccahinge.Fingerprint, v poison.Verdict, shard yuccahinge.ShardID) {
	n := e.Poison.Notice(f, v, shard)
	if v == poison.Confirmed {
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Request: j.request, Service: j.service, Detail: n.Key})
	}
	if e.Gossip != nil {
		e.Gossip.Tell(n)
	}
}

// learn takes what a reply says of its searcher.
func (e *Engine) learn(end *ended, version yuccahinge.IndexVersion) {
	id, r := end.searcher, end.result
	if r.Reply == nil {
		return
	}
	e.Report(end.sent, id, &r.Reply.Load)
	if e.Poison != nil {
		e.Poison.Replied(id)
	}
	if e.Ready != nil && r.Reason == yuccahinge.ReasonVersion {
		e.Ready.Lacks(id, version)
	}
}

// Report takes what a searcher says of itself, with a reply or outside of queries. Asked is when the
// searcher was asked.
func (e *Engine) Report(asked yuccahinge.Millis, id yuccahinge.SearcherID, l *yuccahinge.LoadReport) {
	if e.Ready != nil {
		e.Ready.Observe(id, l)
	}
	if e.Leave != nil && e.Leave.See(e.now(), asked, id, l) {
		e.tellDraining(id, l.Incarnation)
	}
}

func (e *Engine) tellDraining(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: id})
	if e.Gossip != nil {
		e.Gossip.Tell(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: string(id), Incarnation: life, TTLMs: drainNoticeMs})
	}
}
