package query

import (
	"strconv"
	"strings"

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
		e.hearOfQuery(n)
	case yuccahinge.NoticeDraining:
		if e.Leave != nil && e.Leave.Mark(yuccahinge.SearcherID(n.Key), n.Incarnation) {
			e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key), Detail: "heard"})
		}
	}
}

func (e *Engine) hearOfQuery(n yuccahinge.Notice) {
	f, shard, err := parseKey(n.Key)
	if err != nil || e.Poison == nil {
		return
	}
	if n.Kind == yuccahinge.NoticeSuspect {
		e.Poison.Suspect(e.now(), f, shard)
		return
	}
	if e.Poison.Confirm(e.now(), f, n.TTLMs) {
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Detail: "heard " + n.Key})
	}
}

// tellOf records and spreads what is held against a query.
func (e *Engine) tellOf(r *yuccahinge.SearchRequest, f yuccahinge.Fingerprint, v poison.Verdict, shard yuccahinge.ShardID) {
	n := yuccahinge.Notice{
		Kind:  yuccahinge.NoticeSuspect,
		Key:   strconv.FormatUint(uint64(f), 16) + keySeparator + strconv.FormatUint(uint64(shard), 10),
		TTLMs: e.Poison.Hold(),
	}
	if v == poison.Confirmed {
		n.Kind = yuccahinge.NoticePoisoned
		n.Key = strconv.FormatUint(uint64(f), 16)
		e.record(yuccahinge.Event{Code: event.QueryQuarantined, Request: r.RequestID, Service: r.Service, Detail: n.Key})
	}
	if e.Gossip != nil {
		e.Gossip.Tell(n)
	}
}

// keySeparator stands between fingerprint and shard in the key of a NoticeSuspect.
const keySeparator = "/"

// parseKey reads the fingerprint and, where it is given, the shard.
func parseKey(key string) (yuccahinge.Fingerprint, yuccahinge.ShardID, error) {
	head, tail, found := strings.Cut(key, keySeparator)
	f, err := strconv.ParseUint(head, 16, 64)
	if err != nil || !found {
		return yuccahinge.Fingerprint(f), 0, err
	}
	shard, err := strconv.ParseUint(tail, 10, 32)
	return yuccahinge.Fingerprint(f), yuccahinge.ShardID(shard), err
}

// learn takes what a reply says of its searcher.
func (e *Engine) learn(id yuccahinge.SearcherID, r *yuccahinge.ShardResult, version yuccahinge.IndexVersion) {
	if r.Reply == nil {
		return
	}
	e.Report(id, &r.Reply.Load)
	if e.Poison != nil {
		e.Poison.Replied(id)
	}
	if e.Ready != nil && r.Reason == yuccahinge.ReasonVersion {
		e.Ready.Lacks(id, version)
	}
}

// Report takes what a searcher says of itself, with a reply or outside of queries.
func (e *Engine) Report(id yuccahinge.SearcherID, l *yuccahinge.LoadReport) {
	if e.Ready != nil {
		e.Ready.Observe(id, l)
	}
	if e.Leave != nil && e.Leave.See(id, l) {
		e.tellDraining(id, l.Incarnation)
	}
}

func (e *Engine) tellDraining(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	e.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: id})
	if e.Gossip != nil {
		e.Gossip.Tell(yuccahinge.Notice{Kind: yuccahinge.NoticeDraining, Key: string(id), Incarnation: life, TTLMs: drainNoticeMs})
	}
}
