package gather

import "github.com/yuccahinge/yuccahinge"

const (
	// defaultCanaryMs is the wait for a canary when neither CanaryMs nor the Hedger names one.
	defaultCanaryMs yuccahinge.Millis = 20
	// afterLossMs is the pause after a lost canary. It keeps the next one apart from whatever else was
	// crashing at the time, so that a bystander is not blamed twice for one fault.
	afterLossMs yuccahinge.Millis = 50
	// hedgeShare is the share of shards that may be missing when hedges start.
	hedgeShare = 4
	// hedgeAgainMs is the pause after a hedge that the budget refused.
	hedgeAgainMs yuccahinge.Millis = 5
)

// askAll sends an attempt at every shard that has none in flight: the first, or another one where a
// canary failed.
func (g *Gather) askAll(now yuccahinge.Millis) {
	g.holding = false
	for i := range g.shards {
		s := &g.shards[i]
		switch {
		case s.settled() || s.open > 0:
		case s.sent == 0:
			g.ask(now, i, First)
		default:
			s.retried = true
			g.ask(now, i, Retry)
		}
	}
}

// askCanary sends the first attempt at the next shard alone. The first canary's shard follows from the
// request, so that canaries spread over the shards.
func (g *Gather) askCanary(now yuccahinge.Millis) {
	n := len(g.shards)
	if g.next == n {
		g.next = spread(g.Request, n)
	}
	for range n {
		i := g.next
		g.next = (g.next + 1) % n
		if s := &g.shards[i]; s.sent == 0 && !s.settled() {
			g.ask(now, i, First)
			g.canaryAt = now + g.canaryWait(now, i)
			if s.sent > 0 {
				return
			}
		}
	}
	g.askAll(now)
}

func (g *Gather) canaryWait(now yuccahinge.Millis, i int) yuccahinge.Millis {
	if g.CanaryMs > 0 {
		return g.CanaryMs
	}
	if g.Hedger != nil {
		if d, ok := g.Hedger.Delay(now, g.Service, g.shards[i].spec.ID); ok {
			return d
		}
	}
	return defaultCanaryMs
}

// ask sends an attempt at a shard, or settles the shard as lacking when there is nobody left to ask.
func (g *Gather) ask(now yuccahinge.Millis, i int, why Cause) bool {
	s := &g.shards[i]
	if s.sent == maxTried {
		return false
	}
	searcher, ok := g.pick(now, s)
	if !ok {
		if s.open == 0 {
			g.lack(s, yuccahinge.ReasonUnreachable)
		}
		return false
	}
	s.tried[s.sent] = searcher
	s.sent++
	s.open++
	g.attempts = append(g.attempts, attempt{shard: i, searcher: searcher, sentAt: now})
	if g.Observer != nil {
		g.Observer.Started(now, searcher)
	}
	if why == First {
		g.earn(now, s)
	}
	g.out = append(g.out, Action{
		Kind:     Send,
		Cause:    why,
		Attempt:  yuccahinge.AttemptID(len(g.attempts)),
		Shard:    s.spec.ID,
		Searcher: searcher,
		Deadline: g.Deadline,
	})
	return true
}

// earn counts a first attempt and sets the time of its hedge.
func (g *Gather) earn(now yuccahinge.Millis, s *shard) {
	if g.RetryBudget != nil {
		g.RetryBudget.Earn(1)
	}
	if g.HedgeBudget != nil {
		g.HedgeBudget.Earn(1)
	}
	if g.Hedger == nil || g.Suspect {
		return
	}
	if d, ok := g.Hedger.Delay(now, g.Service, s.spec.ID); ok {
		s.hedgeAt = now + d
	}
}

func (g *Gather) pick(now yuccahinge.Millis, s *shard) (yuccahinge.SearcherID, bool) {
	tried := s.tried[:s.sent]
	if g.Picker != nil {
		return g.Picker.Pick(now, g.Index, s.spec, tried)
	}
	for _, id := range s.spec.Searchers {
		if !contains(tried, id) {
			return id, true
		}
	}
	return "", false
}

// hedgeDue sends the hedges that are due, once only few shards are missing: hedging a shard that is not
// among the last does not make the answer earlier.
func (g *Gather) hedgeDue(now yuccahinge.Millis) {
	if !g.mayHedge() {
		return
	}
	for i := range g.shards {
		s := &g.shards[i]
		if s.hedgeAt == 0 || s.hedgeAt > now || s.settled() {
			continue
		}
		if s.sent >= len(s.spec.Searchers) {
			s.hedgeAt = 0
			continue
		}
		if g.HedgeBudget != nil && !g.HedgeBudget.Take() {
			s.hedgeAt = now + hedgeAgainMs
			continue
		}
		s.hedgeAt = 0
		g.ask(now, i, Hedge)
	}
}

func (g *Gather) mayHedge() bool {
	return !g.Suspect && !g.suspicious() && !g.holding && g.missing() <= g.hedgeLast()
}

func (g *Gather) hedgeLast() int { return max(2, len(g.shards)/hedgeShare) }

// suspicious reports whether the query lost a connection and no shard has replied to it.
func (g *Gather) suspicious() bool { return g.lost > 0 && g.covered == 0 }

func spread(r yuccahinge.RequestID, n int) int {
	h := uint32(2166136261)
	for i := range len(r) {
		h = (h ^ uint32(r[i])) * 16777619
	}
	return int(h % uint32(n))
}

func contains(ids []yuccahinge.SearcherID, id yuccahinge.SearcherID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
