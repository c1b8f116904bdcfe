package gather

import "github.com/yuccahinge/yuccahinge"

// notifyPolicies reports the end of an attempt to the policies and refunds the budget of an attempt that was never
// sent.
func (g *Gather) notifyPolicies(now yuccahinge.Millis, a *attempt, s *shard, r *yuccahinge.ShardResult) {
	if g.Observer != nil {
		g.Observer.Ended(now, a.searcher, r)
	}
	g.countLoad(now, a, s, r)
	if a.budget != nil && r.DroppedInQueue() {
		a.budget.Refund(a.sentAt, s.spec.Service)
	}
	if g.LatencyRecorder == nil {
		return
	}
	if r.Outcome == yuccahinge.Ran || r.Reason == yuccahinge.ReasonCanceled || r.Reason == yuccahinge.ReasonTimeout {
		g.LatencyRecorder.RecordLatency(now, g.Service, s.spec.ID, now-a.sentAt)
	}
}

// countLoad counts whether an attempt was queued or refused because of load.
func (g *Gather) countLoad(now yuccahinge.Millis, a *attempt, s *shard, r *yuccahinge.ShardResult) {
	g.load.Ended++
	s.refused = s.refused || r.WasRefused()
	rejected := r.RefusedWithoutLoad() || r.RefusedWithShortQueue() && g.InTrouble != nil && g.InTrouble(now, a.searcher)
	g.rejected = g.rejected || rejected
	if !rejected && r.WasQueued() {
		g.load.Queued++
	}
	if !rejected && r.WasRefused() && !s.full {
		s.full = true
		g.load.Refused++
	}
}

// applyResult updates the shard of an attempt that has ended: it counts the reply, or retries or settles the
// shard.
func (g *Gather) applyResult(now yuccahinge.Millis, id yuccahinge.AttemptID, a *attempt, s *shard, r *yuccahinge.ShardResult) {
	if !g.isValid(id, s, r) {
		g.invalidCount++
		r = &yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonInvalid}
	}
	a.notRun = r.Outcome == yuccahinge.NotRun
	if r.Outcome == yuccahinge.Ran {
		g.coverShard(now, a.shard, s, r.Reply)
		return
	}
	if s.settled() {
		return
	}
	s.reason = r.Reason
	if r.DroppedInQueue() {
		s.unsent++
	}
	switch {
	case g.AtMostOnce && !a.notRun:
		g.markLacking(s, r.Reason)
	case r.Reason == yuccahinge.ReasonConnectionLost:
		g.handleLostConn(now, a, s)
	default:
		g.retryShard(now, a.shard, s)
	}
}

// isValid reports whether the outcome of a result is backed by a reply to this attempt. Without a reply, the
// outcome can only be NotRun, since the attempt was never sent, or Unknown.
func (g *Gather) isValid(id yuccahinge.AttemptID, s *shard, r *yuccahinge.ShardResult) bool {
	switch {
	case r.Outcome == yuccahinge.Unknown:
		return true
	case r.Reply == nil:
		return r.Outcome == yuccahinge.NotRun
	default:
		return r.Reply.Outcome == r.Outcome && g.matchesAttempt(id, s, r.Reply)
	}
}

// matchesAttempt reports whether the reply echoes the ids of this attempt.
func (g *Gather) matchesAttempt(id yuccahinge.AttemptID, s *shard, r *yuccahinge.ShardReply) bool {
	return r.RequestID == g.Request &&
		r.Attempt == id &&
		r.Shard == s.spec.ID &&
		r.IndexVersion == g.Index.Version
}

// coverShard counts a reply and cancels the other attempts at its shard. A reply to a canary ends the wait of the
// other shards.
func (g *Gather) coverShard(now yuccahinge.Millis, i int, s *shard, reply *yuccahinge.ShardReply) {
	if s.settled() {
		return
	}
	s.reply = reply
	g.countCovered(now)
	if s.inFlight > 0 {
		g.cancelAttempts(i)
	}
	if g.awaitingCanary {
		g.sendRemaining(now)
	}
}

// countCovered counts one more covered shard at the instant now.
func (g *Gather) countCovered(now yuccahinge.Millis) {
	g.settledCount++
	g.coveredCount++
	g.lastCoveredAt = now
	if g.halfCoveredAt == 0 && 2*g.coveredCount >= len(g.shards) {
		g.halfCoveredAt = now
	}
	if g.minCoverageAt == 0 && g.coveredCount >= g.MinCoverage.Of(len(g.shards)) {
		g.minCoverageAt = now
	}
}

// cancelAttempts cancels the attempts in flight at shard i, or at all shards if i is negative.
func (g *Gather) cancelAttempts(i int) {
	for j := range g.attempts {
		if a := &g.attempts[j]; i < 0 || a.shard == i {
			g.cancelAttempt(a)
		}
	}
}

// cancelAttempt cancels an attempt that is still in flight.
func (g *Gather) cancelAttempt(a *attempt) {
	if a.ended || a.canceled {
		return
	}
	a.canceled = true
	g.actions = append(g.actions, Action{
		Kind:     Cancel,
		Attempt:  a.id,
		Shard:    g.shards[a.shard].spec.ID,
		Searcher: a.searcher,
	})
}

// handleLostConn handles a lost connection. A proven query is retried at once. Otherwise the first loss may be unrelated
// to the query, so its shard is retried after lossRetryMs. From the second loss on the query is the more likely cause,
// so the shards that lost a connection are not retried, which would expose further searchers to it.
func (g *Gather) handleLostConn(now yuccahinge.Millis, a *attempt, s *shard) {
	g.lostConns++
	proven := g.coveredCount > 0 || !g.awaitingCanary
	if g.OnConnectionLost != nil {
		g.poisoned = g.OnConnectionLost(now, s.spec.ID, a.searcher, proven)
	} else {
		g.poisoned = !proven && (g.Suspect || g.lostConns > 1)
	}
	switch {
	case g.poisoned || s.inFlight > 0:
	case g.awaitingCanary:
		g.canaryDeadline = now + canaryLossPauseMs
	case g.HoldLost && g.coveredCount == 0:
		g.holdShard(s)
	case g.Proven:
		g.retryShard(now, a.shard, s)
	case g.lostConns == 1:
		g.lossRetryAt = now + lossRetryMs
		g.firstLostShard = a.shard
	default:
		if g.lossRetryAt > 0 {
			g.lossRetryAt = 0
			g.markLacking(&g.shards[g.firstLostShard], yuccahinge.ReasonConnectionLost)
		}
		g.markLacking(s, yuccahinge.ReasonConnectionLost)
	}
}

// retryLostShard retries the shard of the first lost connection once lossRetryMs have passed.
func (g *Gather) retryLostShard(now yuccahinge.Millis) {
	if g.lossRetryAt == 0 || now < g.lossRetryAt {
		return
	}
	g.lossRetryAt = 0
	if s := &g.shards[g.firstLostShard]; s.inFlight == 0 && !s.settled() {
		g.retryShard(now, g.firstLostShard, s)
	}
}

// retryShard queries another replica after a failure, or marks the shard as lacking if no retry is allowed.
func (g *Gather) retryShard(now yuccahinge.Millis, i int, s *shard) {
	if s.inFlight > 0 {
		return // a hedge may still reply
	}
	if g.awaitingCanary {
		g.replaceCanary(now, s)
		return
	}
	if s.retried && g.MaxAttempts == 0 || g.Suspect || now >= g.Deadline {
		g.markLacking(s, s.reason)
		return
	}
	budget := g.RetryBudget
	if s.unsent == s.attemptsSent {
		budget = nil // no searcher has got an attempt yet
	}
	if !withdrawFrom(now, budget, s) {
		g.markLacking(s, s.reason)
		return
	}
	s.retried = true
	s.hedgeAt = 0
	if !g.chargeAttempt(now, budget, s, g.startAttempt(now, i, Retry)) {
		g.markLacking(s, s.reason)
	}
}

// replaceCanary sends a canary to another shard after a canary failed. The shard of the failed canary stays
// unsettled, so that sendRemaining queries it again.
func (g *Gather) replaceCanary(now yuccahinge.Millis, s *shard) {
	if s.attemptsSent >= maxAttempts {
		g.markLacking(s, s.reason)
	}
	g.canaryDeadline = now
	g.sendNextCanary(now)
}

func (g *Gather) markLacking(s *shard, r yuccahinge.Reason) {
	if s.settled() {
		return
	}
	s.setLacking(r)
	g.settledCount++
	if s.delegated {
		g.delegatedPending--
	}
}
