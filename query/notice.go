package query

import (
	"strconv"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// drainNoticeMs is how long a notice of a leaving searcher stands.
const drainNoticeMs = 60 * yuccahinge.Second

// Hear takes a notice from another host.
func (e *Engine) Hear(n yuccahinge.Notice) {
	switch n.Kind {
	case yuccahinge.NoticePoisoned:
		e.hearPoisoned(n)
	case yuccahinge.NoticeDraining:
		if e.Leave != nil && e.Leave.Mark(e.now(), yuccahinge.SearcherID(n.Key), n.Incarnation) {
			e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key), Detail: "heard"})
		}
	}
}

func (e *Engine) hearPoisoned(n yuccahinge.Notice) {
	f, err := strconv.ParseUint(n.Key, 16, 64)
	if err != nil || e.Poison == nil {
		return
	}
	if e.Poison.Confirm(e.now(), yuccahinge.Fingerprint(f), n.TTLMs) {
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Detail: "heard " + n.Key})
	}
}

// tellPoisoned records and spreads that a query is quarantined.
func (e *Engine) tellPoisoned(r *yuccahinge.SearchRequest, f yuccahinge.Fingerprint) {
	key := strconv.FormatUint(uint64(f), 16)
	e.record(yuccahinge.Event{Code: event.QueryQuarantined, Request: r.RequestID, Service: r.Service, Detail: key})
	if e.Gossip != nil {
		e.Gossip.Tell(yuccahinge.Notice{Kind: yuccahinge.NoticePoisoned, Key: key, TTLMs: e.Poison.Hold()})
	}
}

// learn takes what a reply says of its searcher.
func (e *Engine) learn(end *ended, version yuccahinge.IndexVersion) {
	id, r := end.searcher, end.result
	if r.Reply == nil {
		return
	}
	e.Report(id, end.sent, &r.Reply.Load)
	if e.Ready != nil && r.Reason == yuccahinge.ReasonVersion {
		e.Ready.Lacks(id, version)
	}
}

// Report takes what a searcher says of itself in reply to a call sent at the instant asked, of a query or not.
func (e *Engine) Report(id yuccahinge.SearcherID, asked yuccahinge.Millis, l *yuccahinge.LoadReport) {
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
