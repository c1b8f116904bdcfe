package tier

import "github.com/yuccahinge/yuccahinge"

var _ yuccahinge.Observer = (*Tier)(nil)

// Started implements yuccahinge.Observer for calls at searchers beside queries, such as charges.
func (t *Tier) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) { t.Route.Started(now, id) }

// Ended implements yuccahinge.Observer. What the searcher says of itself counts as with queries, so that the drain of
// a searcher that only runs charges is told to the other hosts too.
func (t *Tier) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) {
	t.Route.Ended(now, id, r)
	if r.Reply != nil {
		t.Engine.Report(now-r.Latency, id, &r.Reply.Load)
	}
}
