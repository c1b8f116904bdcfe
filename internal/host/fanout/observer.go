package fanout

import "github.com/yuccahinge/yuccahinge"

var _ yuccahinge.AttemptObserver = (*Fanout)(nil)

// Started implements yuccahinge.Observer for calls to searchers that are not queries, such as charges.
func (t *Fanout) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) { t.Route.Started(now, id) }

// Ended implements yuccahinge.Observer. The load report of the reply is processed as for a query, so that the drain of a
// searcher that only runs charges is gossiped to the other hosts too.
func (t *Fanout) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) {
	t.Route.Ended(now, id, r)
	if r.Reply != nil {
		t.Engine.RecordReport(now-r.Latency, id, &r.Reply.Load)
	}
}
