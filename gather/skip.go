package gather

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/calc/mixer"
)

// skipOverloaded skips shards whose searchers are overloaded, as many as EnoughCoverage allows. Each query that
// skips a shard shortens its queue, so that the queries that do reach it get their replies in time; if every query
// were sent, every reply would be late. The order of the shards differs from query to query, so that each query
// skips other shards.
func (g *Gather) skipOverloaded(now yuccahinge.Millis) {
	if g.Estimator == nil || g.SoftDeadline <= now {
		return
	}
	n := len(g.shards)
	skippable := n - g.EnoughCoverage.Of(n)
	first := hashRequest(g.Request, n)
	for i := 0; i < n && skippable > 0; i++ {
		s := &g.shards[(first+i)%n]
		if s.delegated || g.shouldQuery(now, s, i) {
			continue
		}
		g.markLacking(s, yuccahinge.ReasonNoCapacity)
		skippable--
	}
}

// shouldQuery decides at random whether to query a shard. If the expected wait exceeds the time to the soft
// deadline, the probability falls with the square of the wait.
func (g *Gather) shouldQuery(now yuccahinge.Millis, s *shard, turn int) bool {
	wait, ok := g.Estimator.ExpectedLatency(now, g.Index, s.spec)
	if !ok {
		return false
	}
	excess := float64(wait) / float64(g.SoftDeadline-now)
	return excess <= 1 || g.randomUnit(turn) < 1/(excess*excess)
}

// randomUnit returns a pseudo-random number from 0 to 1 that is derived from the request and the turn.
func (g *Gather) randomUnit(turn int) float64 {
	return mixer.Float64(uint64(hashRequest(g.Request, math.MaxInt32)) + uint64(turn+1)*0x9e3779b97f4a7c15)
}
