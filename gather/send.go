package gather

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// canaryCount is the number of shards that are queried first.
	canaryCount = 2
	// defaultCanaryMs is how long the other shards wait for a canary if CanaryMs is zero.
	defaultCanaryMs yuccahinge.Millis = 4
	// suspectCanaryMs is how long to wait for a canary of a suspect query if the Hedger returns no delay.
	suspectCanaryMs yuccahinge.Millis = 20
	// lossRetryMs is the delay before a shard whose connection was lost is retried. Other connections that the same
	// query breaks are lost by then.
	lossRetryMs yuccahinge.Millis = 10
	// canaryLossPauseMs is the wait for the next canary after one lost its connection. It separates the next canary from
	// unrelated crashes at the time, so that one fault does not count twice against a harmless query.
	canaryLossPauseMs yuccahinge.Millis = 50
	// lastShardsDivisor sets how few shards must be pending before hedges are sent early: the number of shards
	// divided by it.
	lastShardsDivisor = 4
	// unknownDelayDivisor sets the hedge delay of a shard of unknown latency: the remaining time divided by it.
	unknownDelayDivisor = 4
	// hedgeRetryMs is the delay before a hedge is tried again that the budget refused or for which the searcher had no room.
	hedgeRetryMs yuccahinge.Millis = 5
)

// sendRemaining sends an attempt to every unsettled shard that has none in flight: the first attempt, or a retry
// where a canary failed.
func (g *Gather) sendRemaining(now yuccahinge.Millis) {
	g.awaitingCanary = false
	for i := range g.shards {
		s := &g.shards[i]
		switch {
		case s.settled() || s.delegated || s.inFlight > 0:
		case s.attemptsSent == 0:
			g.startAttempt(now, i, First)
		default:
			s.retried = true
			g.startAttempt(now, i, Retry)
		}
	}
}

// sendCanaries queries two shards, since one canary may wait in a searcher's queue and show no result in time. A
// suspect query gets one canary, and so does a query over at most four shards.
func (g *Gather) sendCanaries(now yuccahinge.Millis) {
	g.nextShard = hashRequest(g.Request, len(g.shards))
	if g.Suspect {
		g.sendSuspectCanary(now)
		return
	}
	g.sendNextCanary(now)
	if g.awaitingCanary && len(g.shards) > 2*canaryCount {
		g.sendNextCanary(now)
	}
}

// sendSuspectCanary sends the canary of a suspect query to the shard at which the query crashed a searcher.
func (g *Gather) sendSuspectCanary(now yuccahinge.Millis) {
	for i := range g.shards {
		if g.shards[i].spec.ID == g.SuspectShard {
			g.startAttempt(now, i, First)
			g.canaryDeadline = now + g.canaryWait(now, i)
			return
		}
	}
	g.sendNextCanary(now)
}

// sendNextCanary sends the first attempt at the next shard, preferring one with a replica in this failure domain.
// The position of the first canary is a hash of the request, so that canaries spread over the shards.
func (g *Gather) sendNextCanary(now yuccahinge.Millis) {
	for _, local := range [...]bool{true, false} {
		for i := range g.shards {
			pos := (g.nextShard + i) % len(g.shards)
			s := &g.shards[pos]
			if s.attemptsSent > 0 || s.settled() || s.delegated || (local && !g.hasLocalReplica(s)) {
				continue
			}
			g.startAttempt(now, pos, First)
			if s.attemptsSent > 0 {
				g.nextShard = pos + 1
				g.canaryDeadline = now + g.canaryWait(now, pos)
				return
			}
		}
	}
	g.sendRemaining(now)
}

// hasLocalReplica reports whether a searcher of the shard is in the failure domain of this host.
func (g *Gather) hasLocalReplica(s *shard) bool {
	for _, id := range s.spec.Searchers {
		if searcher := g.Index.Searchers[id]; searcher != nil && searcher.Domain == g.Domain {
			return true
		}
	}
	return false
}

// endCanaryWait queries the other shards if the canary lost no connection. A suspect query, or one that lost a
// connection, sends the next canary instead until one has replied.
func (g *Gather) endCanaryWait(now yuccahinge.Millis) {
	if g.Suspect || g.maybePoisoned() {
		g.sendNextCanary(now)
		return
	}
	g.sendRemaining(now)
}

func (g *Gather) canaryWait(now yuccahinge.Millis, i int) yuccahinge.Millis {
	if !g.Suspect && !g.maybePoisoned() {
		if g.CanaryMs > 0 {
			return g.CanaryMs
		}
		return defaultCanaryMs
	}
	if g.Hedger != nil {
		if d, ok := g.Hedger.Delay(now, g.Service, g.shards[i].spec.ID); ok {
			return d
		}
	}
	return suspectCanaryMs
}

// startAttempt picks a searcher and sends it an attempt. If no searcher can be picked and no attempt is in flight,
// the shard is marked as lacking. It reports whether an attempt was sent.
func (g *Gather) startAttempt(now yuccahinge.Millis, i int, cause Cause) bool {
	s := &g.shards[i]
	if s.attemptsSent == g.attemptLimit(s) {
		return false
	}
	searcher, ok := g.pick(now, s, s.tried[:s.attemptsSent])
	if !ok {
		if s.inFlight == 0 {
			g.markLacking(s, g.unpickedReason(now, s))
		}
		return false
	}
	if cause == Hedge && g.HasRoom != nil && !g.HasRoom(now, searcher) {
		return false
	}
	g.send(now, i, searcher, cause)
	return true
}

// unpickedReason returns why no searcher of a shard can be picked.
func (g *Gather) unpickedReason(now yuccahinge.Millis, s *shard) yuccahinge.Reason {
	if g.Room != nil {
		if wait, ok := g.Room.RoomIn(now, g.Index, s.spec); ok && wait > 0 {
			return yuccahinge.ReasonNoCapacity
		}
	}
	return yuccahinge.ReasonUnreachable
}

// attemptLimit returns the number of attempts after which a shard gets no more. Those that were not sent don't count.
func (g *Gather) attemptLimit(s *shard) int {
	if g.MaxAttempts > 0 {
		return min(g.MaxAttempts+s.unsent, maxAttempts)
	}
	return maxAttempts
}

// send records an attempt at shard i and adds its Send action.
func (g *Gather) send(now yuccahinge.Millis, i int, searcher yuccahinge.SearcherID, cause Cause) {
	s := &g.shards[i]
	s.tried[s.attemptsSent] = searcher
	s.attemptsSent++
	s.inFlight++
	g.attempts = append(g.attempts, attempt{
		id:       yuccahinge.AttemptID(len(g.attempts) + 1),
		shard:    i,
		searcher: searcher,
		sentAt:   now,
	})
	if g.Observer != nil {
		g.Observer.Started(now, searcher)
	}
	if cause == First {
		g.countFirstAttempt(now, s)
	}
	g.actions = append(g.actions, Action{
		Kind:     Send,
		Cause:    cause,
		Attempt:  yuccahinge.AttemptID(len(g.attempts)),
		Shard:    s.spec.ID,
		Searcher: searcher,
		Deadline: g.Deadline,
	})
}

// countFirstAttempt credits the budgets with a first attempt and schedules its hedge.
func (g *Gather) countFirstAttempt(now yuccahinge.Millis, s *shard) {
	if g.RetryBudget != nil {
		g.RetryBudget.Deposit(now, s.spec.Service, 1)
	}
	if g.HedgeBudget != nil && g.HedgeBudget != g.RetryBudget {
		g.HedgeBudget.Deposit(now, s.spec.Service, 1)
	}
	if g.Hedger == nil || g.Suspect || g.AtMostOnce {
		return
	}
	d := g.hedgeDelay(now, s)
	s.hedgeAt = now + d
	s.lateHedgeAt = s.hedgeAt + d
	g.scheduleHedge(s)
}

// hedgeDelay returns the delay from the Hedger, or a part of the remaining time if the latency is unknown.
func (g *Gather) hedgeDelay(now yuccahinge.Millis, s *shard) yuccahinge.Millis {
	if d, ok := g.Hedger.Delay(now, g.Service, s.spec.ID); ok {
		return d
	}
	end := g.Deadline
	if g.SoftDeadline > now {
		end = min(end, g.SoftDeadline)
	}
	return (end - now) / unknownDelayDivisor
}

// pick returns a searcher of the shard that is not in tried, or false if there is none.
func (g *Gather) pick(now yuccahinge.Millis, s *shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	if g.Picker != nil {
		return g.Picker.Pick(now, g.Index, s.spec, tried)
	}
	for _, id := range s.spec.Searchers {
		if g.Index.Searchers[id] != nil && !slices.Contains(tried, id) {
			return id, true
		}
	}
	return "", false
}

func (g *Gather) sendDueHedges(now yuccahinge.Millis) {
	at, ok := g.nextHedgeTick()
	if !ok || now < at {
		return
	}
	few := g.fewPending()
	g.nextHedgeAt, g.nextLateHedgeAt = 0, 0
	for i := range g.shards {
		s := &g.shards[i]
		if s.hedgeAt == 0 || s.settled() {
			continue
		}
		if s.lateHedgeAt <= now || (few && s.hedgeAt <= now) {
			g.hedgeOrReissue(now, i, s)
		}
		g.scheduleHedge(s)
	}
}

// nextHedgeTick returns the instant of the next hedge, which may be too early if its shard has settled since.
// While many shards are pending, a hedge waits for twice its delay: the last shards determine when the answer is
// ready, so that hedging the others helps only if many searchers are silent at once.
func (g *Gather) nextHedgeTick() (yuccahinge.Millis, bool) {
	if g.Suspect || g.maybePoisoned() || g.awaitingCanary {
		return 0, false
	}
	if g.fewPending() {
		return g.nextHedgeAt, g.nextHedgeAt > 0
	}
	return g.nextLateHedgeAt, g.nextLateHedgeAt > 0
}

// fewPending reports whether so few shards are pending that hedging one may make the answer earlier.
func (g *Gather) fewPending() bool {
	return g.pendingShards() <= max(2, len(g.shards)/lastShardsDivisor)
}

// hedgeOrReissue sends the next extra attempt at a late shard, if one is left and the budget allows it.
func (g *Gather) hedgeOrReissue(now yuccahinge.Millis, i int, s *shard) {
	first := g.activeFirstAttempt(i)
	reissuing := s.hedged && !g.NoReissue
	if s.attemptsSent == g.attemptLimit(s) || reissuing && first == nil || !reissuing && s.attemptsSent >= len(s.spec.Searchers) {
		s.hedgeAt = 0
		return
	}
	if !g.withdrawHedge(now, s) {
		s.hedgeAt = now + hedgeRetryMs
		s.lateHedgeAt = s.hedgeAt
		return
	}
	s.hedgeAt = 0
	if reissuing {
		g.chargeAttempt(now, g.HedgeBudget, s, g.reissue(now, i, first))
		return
	}
	if !g.chargeAttempt(now, g.HedgeBudget, s, g.startAttempt(now, i, Hedge)) {
		if g.HasRoom != nil {
			s.hedgeAt = now + hedgeRetryMs
			s.lateHedgeAt = s.hedgeAt
		}
		return
	}
	s.hedged = true
	s.hedgeAt = now + g.hedgeDelay(now, s)
	s.lateHedgeAt = s.hedgeAt
}

// withdrawFrom reports whether the budget grants an extra attempt at the shard; a nil budget always does.
func withdrawFrom(now yuccahinge.Millis, b yuccahinge.AttemptBudget, s *shard) bool {
	return b == nil || b.Withdraw(now, s.spec.Service)
}

// withdrawHedge reports whether the budget grants a hedge or a reissued attempt at the shard. While a searcher of the shard
// rejects requests, one more attempt must be left for a retry: a shard can do without a hedge, but not without the retry.
func (g *Gather) withdrawHedge(now yuccahinge.Millis, s *shard) bool {
	if !withdrawFrom(now, g.HedgeBudget, s) {
		return false
	}
	if g.HedgeBudget == nil || g.HedgeBudget != g.RetryBudget || !g.hasTrouble(now, s) {
		return true
	}
	if !g.HedgeBudget.Withdraw(now, s.spec.Service) {
		g.HedgeBudget.Refund(now, s.spec.Service)
		return false
	}
	g.HedgeBudget.Refund(now, s.spec.Service)
	return true
}

// hasTrouble reports whether a searcher of the shard rejects requests without load.
func (g *Gather) hasTrouble(now yuccahinge.Millis, s *shard) bool {
	return g.InTrouble != nil && slices.ContainsFunc(s.spec.Searchers, func(id yuccahinge.SearcherID) bool { return g.InTrouble(now, id) })
}

// chargeAttempt records the budget that granted the newest attempt, or refunds the grant if no attempt was sent.
// It returns sent.
func (g *Gather) chargeAttempt(now yuccahinge.Millis, b yuccahinge.AttemptBudget, s *shard, sent bool) bool {
	switch {
	case b == nil:
	case sent:
		g.attempts[len(g.attempts)-1].budget = b
	default:
		b.Refund(now, s.spec.Service)
	}
	return sent
}

// reissue cancels the first attempt at a shard and sends it again, possibly to the same searcher: if its hedge is late
// as well, the attempt is more likely to be a straggler itself than to wait behind one, and it occupies a slot. The
// Picker is consulted, since the searcher may be draining by now. It reports whether an attempt was sent.
func (g *Gather) reissue(now yuccahinge.Millis, i int, first *attempt) bool {
	s := &g.shards[i]
	excluded := make([]yuccahinge.SearcherID, 0, maxAttempts)
	for _, id := range s.tried[:s.attemptsSent] {
		if id != first.searcher {
			excluded = append(excluded, id)
		}
	}
	searcher, ok := g.pick(now, s, excluded)
	if !ok {
		return false
	}
	g.cancelAttempt(first)
	g.send(now, i, searcher, Reissue)
	return true
}

// activeFirstAttempt returns the first attempt at shard i, or nil if it has ended or been canceled.
func (g *Gather) activeFirstAttempt(i int) *attempt {
	for j := range g.attempts {
		if a := &g.attempts[j]; a.shard == i {
			if a.ended || a.canceled {
				return nil
			}
			return a
		}
	}
	return nil
}

// scheduleHedge updates the earliest hedge instants with those of the shard.
func (g *Gather) scheduleHedge(s *shard) {
	if s.hedgeAt == 0 {
		return
	}
	g.nextHedgeAt = earlier(g.nextHedgeAt, s.hedgeAt)
	g.nextLateHedgeAt = earlier(g.nextLateHedgeAt, s.lateHedgeAt)
}

// earlier returns the earlier of two instants; a may be zero for none.
func earlier(a, b yuccahinge.Millis) yuccahinge.Millis {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// maybePoisoned reports whether the query lost a connection and no shard has replied to it.
func (g *Gather) maybePoisoned() bool { return g.lostConns > 0 && g.coveredCount == 0 }

// hashRequest returns the FNV-1a hash of the request id modulo n.
func hashRequest(r yuccahinge.RequestID, n int) int {
	h := uint32(2166136261)
	for i := range len(r) {
		h = (h ^ uint32(r[i])) * 16777619
	}
	return int(h % uint32(n))
}
