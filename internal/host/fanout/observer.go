package fanout

import "github.com/yuccahinge/yuccahinge"

var _ yuccahinge.AttemptObserver = (*Fanout)(nil)

// Started implements yuccahinge.AttemptObserver for calls to searchers that are not queries, such as charges.
func (f *Fanout) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) {
	f.Balancer.Started(now, id)
}

// Ended implements yuccahinge.AttemptObserver. The load report of the reply is processed as for a query, so that the drain
// of a searcher that only runs charges is gossiped to the other hosts too.
func (f *Fanout) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) {
	f.Balancer.Ended(now, id, r)
	if r.Reply != nil {
		f.Engine.RecordReport(now-r.Latency, id, &r.Reply.Load)
	}
}
