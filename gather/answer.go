package gather

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/merge"
)

// finishIfDue ends the query if it is due and returns the collected actions.
func (g *Gather) finishIfDue(now yuccahinge.Millis) []Action {
	if g.done || !g.isDue(now) {
		return g.actions
	}
	g.finish()
	return g.actions
}

// finish marks the unsettled shards as lacking and cancels the attempts in flight.
func (g *Gather) finish() {
	if g.partsSent && g.delegatedPending > 0 {
		g.remoteMayHaveRun = true
	}
	for i := range g.shards {
		if s := &g.shards[i]; !s.settled() {
			g.markLacking(s, g.unsettledReason(s))
		}
	}
	g.done = true
	g.cancelAttempts(-1)
	g.actions = append(g.actions, Action{Kind: Finish})
}

func (g *Gather) isDue(now yuccahinge.Millis) bool {
	switch {
	case g.poisoned, g.settledCount == len(g.shards), now >= g.Deadline, g.coverageUnreachable():
		return true
	case g.SoftDeadline == 0 || now < g.SoftDeadline:
		return false
	default:
		g.softReached = true
		return g.IsPart || g.coveredCount >= g.EnoughCoverage.Of(len(g.shards))
	}
}

// coverageUnreachable reports whether too many shards are lacking to reach MinCoverage.
func (g *Gather) coverageUnreachable() bool {
	n := len(g.shards)
	return n-(g.settledCount-g.coveredCount) < g.MinCoverage.Of(n)
}

// unsettledReason returns the reason for a shard that is still unsettled at the end of the query.
func (g *Gather) unsettledReason(s *shard) yuccahinge.Reason {
	switch {
	case g.poisoned:
		return yuccahinge.ReasonPoisoned
	case s.attemptsSent == 0 && !s.delegated:
		return yuccahinge.ReasonNotRun
	default:
		return yuccahinge.ReasonTimeout
	}
}

func (g *Gather) softPassed() bool { return g.softReached }

// Answer returns the answer after Finish, and the documents that more than one shard returned. An error reports a
// violated invariant; the answer returned with it must not be sent.
func (g *Gather) Answer() (a *yuccahinge.SearchAnswer, duplicates []yuccahinge.DocumentID, err error) {
	m := merge.Merger{MaxHits: g.MaxHits}
	m.Grow(g.hitCount())
	for i := range g.shards {
		if r := g.shards[i].reply; r != nil {
			m.Add(r.Hits)
		}
	}
	a = &yuccahinge.SearchAnswer{
		RequestID:    g.Request,
		Ticket:       g.Ticket,
		IndexVersion: g.Index.Version,
		Hits:         m.Hits(),
		Coverage:     g.coverage(),
		Outcome:      g.outcome(),
	}
	return a, m.Duplicates(), g.checkInvariants(a)
}

func (g *Gather) hitCount() int {
	n := 0
	for i := range g.shards {
		if r := g.shards[i].reply; r != nil {
			n += len(r.Hits)
		}
	}
	return n
}

// outcome returns NotRun only if every attempt ended with proof that it did not run.
func (g *Gather) outcome() yuccahinge.Outcome {
	if g.coveredCount == len(g.shards) {
		return yuccahinge.Complete
	}
	for i := range g.attempts {
		if !g.attempts[i].notRun {
			return yuccahinge.Partial
		}
	}
	return yuccahinge.NotRun
}

func (g *Gather) coverage() yuccahinge.Coverage {
	c := yuccahinge.Coverage{
		Total:   len(g.shards),
		Covered: make([]string, 0, 1),
		Lacking: make([]yuccahinge.LackingShard, 0, len(g.shards)-g.coveredCount),
	}
	for i := 0; i < len(g.shards); i++ {
		s := &g.shards[i]
		if s.reply == nil {
			c.Lacking = append(c.Lacking, yuccahinge.LackingShard{Shard: s.spec.ID, Reason: s.reason})
			continue
		}
		last := g.coveredRunEnd(i)
		c.Covered = append(c.Covered, formatRange(s.spec.ID, g.shards[last].spec.ID))
		i = last
	}
	return c
}

// coveredRunEnd returns the last index of the run of covered shards with consecutive ids that starts at i.
func (g *Gather) coveredRunEnd(i int) int {
	for i+1 < len(g.shards) && g.shards[i+1].reply != nil && g.shards[i+1].spec.ID == g.shards[i].spec.ID+1 {
		i++
	}
	return i
}

func formatRange(from, to yuccahinge.ShardID) string {
	text := strconv.FormatUint(uint64(from), 10)
	if from == to {
		return text
	}
	return text + "-" + strconv.FormatUint(uint64(to), 10)
}

// checkInvariants checks that every counted reply belongs to this query and that the answer accounts for every
// shard of the pinned index.
func (g *Gather) checkInvariants(a *yuccahinge.SearchAnswer) error {
	covered := 0
	for i := range g.shards {
		s := &g.shards[i]
		if s.reply == nil {
			continue
		}
		covered++
		if s.reply.RequestID != g.Request || s.reply.Shard != s.spec.ID || s.reply.IndexVersion != g.Index.Version {
			return errors.Wrapf(ErrForeignReply, "shard %d", s.spec.ID)
		}
	}
	if covered+len(a.Coverage.Lacking) != len(g.Index.Shards) || covered != g.coveredCount || a.Coverage.Total != len(g.Index.Shards) {
		return errors.Wrapf(ErrCoverage, "%d covered and %d lacking of %d shards", covered, len(a.Coverage.Lacking), len(g.Index.Shards))
	}
	return nil
}
