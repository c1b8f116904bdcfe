package gather

import "github.com/yuccahinge/yuccahinge"

// losses counts what shows whether a query crashes the searchers that run it.
type losses struct {
	searcher  yuccahinge.SearcherID // the last that closed the connection without a response; empty for none
	sentAt    yuccahinge.Millis     // when the attempt was sent; zero if unknown
	at        yuccahinge.Millis     // when the connection was closed
	completed bool                  // a searcher ran the query to its end
	// unfinished is the searcher of the last attempt that this host ended while the searcher may have run it; empty for none.
	unfinished       yuccahinge.SearcherID
	unfinishedSentAt yuccahinge.Millis
	unfinishedAt     yuccahinge.Millis // when the call ended
}

func (l *losses) count(now yuccahinge.Millis, a *attempt, r *yuccahinge.ShardResult) {
	if r.MayStillRun {
		l.unfinished, l.unfinishedSentAt, l.unfinishedAt = a.searcher, a.sentAt, now
	}
	if r.ClosedUnanswered {
		l.searcher, l.sentAt, l.at = a.searcher, a.sentAt, now
	}
	l.completed = l.completed || r.Completed()
}

// add adds those of a part.
func (l *losses) add(now yuccahinge.Millis, r *PartResult) {
	if r.LostSearcher != "" {
		l.searcher, l.sentAt, l.at = r.LostSearcher, 0, now
	}
	l.completed = l.completed || r.Completed
}

// LostSearcher returns the last searcher that closed the connection without a response, here or for a part, when its attempt was sent,
// zero if unknown, and when it did so, or false if there is none.
func (g *Gather) LostSearcher() (id yuccahinge.SearcherID, sentAt, lostAt yuccahinge.Millis, ok bool) {
	return g.losses.searcher, g.losses.sentAt, g.losses.at, g.losses.searcher != ""
}

// UnfinishedSearcher returns the searcher of the last attempt that this host ended while the searcher may have run it, when the attempt
// was sent, and when its call ended, or false if there is none.
func (g *Gather) UnfinishedSearcher() (id yuccahinge.SearcherID, sentAt, endedAt yuccahinge.Millis, ok bool) {
	return g.losses.unfinished, g.losses.unfinishedSentAt, g.losses.unfinishedAt, g.losses.unfinished != ""
}

// Completed reports whether any searcher ran the query to its end, here or for a part.
func (g *Gather) Completed() bool { return g.losses.completed || g.coveredCount > 0 }

// held holds the state of the shards with HoldLost whose connections were lost before any searcher replied.
type held struct {
	count int
	// retried is set once one of them is retried alone, and failed once its connection is lost too.
	retried, failed bool
}

// holdShard delays the retry of a shard until resolveHeld.
func (g *Gather) holdShard(s *shard) {
	s.held = true
	g.held.count++
	g.held.failed = g.held.retried
}

// resolveHeld retries the held shards once a searcher has replied. If nothing is in flight, it retries one of them alone, and
// gives up on all if that one is lost too.
func (g *Gather) resolveHeld(now yuccahinge.Millis) {
	if g.held.count == 0 || g.coveredCount == 0 && (g.delegatedPending > 0 || g.InFlight() > 0) {
		return
	}
	alone := g.coveredCount == 0
	for i := range g.shards {
		s := &g.shards[i]
		if !s.held {
			continue
		}
		s.held = false
		g.held.count--
		if alone && (g.held.failed || g.IsPart) {
			g.markLacking(s, yuccahinge.ReasonConnectionLost)
			continue
		}
		g.retryShard(now, i, s)
		if alone && s.inFlight > 0 {
			g.held.retried = true
			return
		}
	}
}
