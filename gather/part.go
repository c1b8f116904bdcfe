package gather

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// markDelegated marks the shards that other hosts query.
func (g *Gather) markDelegated() {
	for _, part := range g.Delegated {
		for _, i := range part {
			g.shards[i].delegated = true
			g.delegatedPending++
		}
	}
}

// LackingShard is a shard for which another host has no reply.
type LackingShard struct {
	// Shard is the position of the shard among the shards delegated to that host.
	Shard int `json:"shard"`
	// Tried holds the searchers that were queried.
	Tried []yuccahinge.SearcherID `json:"tried,omitempty"`
	// Lost is set if the last searcher that was queried closed the connection, or if none was queried because the query may
	// crash it.
	Lost bool `json:"lost,omitempty"`
	// RoomInMs is the delay until that host may call a searcher of the shard, if it could not call any for want of room, or
	// if those that it has called refused.
	RoomInMs yuccahinge.Millis `json:"roomInMs,omitempty"`
}

// PartResult is the result of the host that queried one part of Gather.Delegated. That host starts no further attempts for
// the part.
type PartResult struct {
	Lacking []LackingShard `json:"lacking,omitempty"`
	// NoneRan is set if no searcher ran the request for that host.
	NoneRan bool `json:"noneRan,omitempty"`
	// LostSearcher is a searcher that closed the connection without a response, if there is one. Completed is set if any
	// searcher ran the request to its end.
	LostSearcher yuccahinge.SearcherID `json:"lostSearcher,omitempty"`
	Completed    bool                  `json:"responded,omitempty"`
	// StragglerWaitMs is how long that host waited for stragglers after it had reached the coverage that the request needs.
	StragglerWaitMs yuccahinge.Millis `json:"heldMs,omitempty"`
	Load            Load              `json:"load"`
}

// PartResult returns the result of the part that this host queried for another host.
func (g *Gather) PartResult(now yuccahinge.Millis) *PartResult {
	r := &PartResult{NoneRan: g.NoneRan(), LostSearcher: g.losses.searcher, Completed: g.losses.completed, Load: g.load}
	if g.minCoverageAt > 0 {
		r.StragglerWaitMs = now - g.minCoverageAt
	}
	for i := range g.shards {
		if s := &g.shards[i]; s.reply == nil {
			lacking := LackingShard{Shard: i, Tried: s.tried[:s.attemptsSent], Lost: s.reason == yuccahinge.ReasonConnectionLost || s.reason == yuccahinge.ReasonPoisoned}
			if g.Room != nil && (s.attemptsSent == 0 || s.refused) {
				lacking.RoomInMs, _ = g.Room.RoomIn(now, g.Index, s.spec)
			}
			r.Lacking = append(r.Lacking, lacking)
		}
	}
	return r
}

// HandlePart handles the result of one part of Delegated. This host retries the lacking shards of the result, unless
// the query can end without them or their attempts are used up.
func (g *Gather) HandlePart(now yuccahinge.Millis, part int, r *PartResult) []Action {
	g.actions = g.actions[:0]
	if g.done {
		return nil
	}
	g.remoteMayHaveRun = g.remoteMayHaveRun || !r.NoneRan
	g.load.add(r.Load)
	g.losses.add(now, r)
	lacking := make([]*shard, 0, len(r.Lacking))
	for pos, i := range g.Delegated[part] {
		s := &g.shards[i]
		s.delegated = false
		g.delegatedPending--
		if n := slices.IndexFunc(r.Lacking, func(l LackingShard) bool { return l.Shard == pos }); n >= 0 {
			s.attemptsSent = copy(s.tried[:], r.Lacking[n].Tried)
			s.reason = yuccahinge.ReasonTimeout
			if r.Lacking[n].Lost {
				s.reason = yuccahinge.ReasonConnectionLost
			}
			lacking = append(lacking, s)
			continue
		}
		s.coveredRemotely = true
		g.countCovered(max(now-r.StragglerWaitMs, g.lastCoveredAt))
	}
	if g.isDue(now) {
		return g.finishIfDue(now)
	}
	for _, s := range lacking {
		if g.HoldLost && g.coveredCount == 0 && s.reason == yuccahinge.ReasonConnectionLost {
			g.holdShard(s)
			continue
		}
		g.retryShard(now, s.index, s)
	}
	g.resolveHeld(now)
	g.sendDueHedges(now)
	return g.finishIfDue(now)
}

// HandlePartLost marks the shards of one part of Delegated as lacking after the host that queried them failed to answer.
// They are not retried, since that host may have used up their attempts.
func (g *Gather) HandlePartLost(now yuccahinge.Millis, part int, reason yuccahinge.Reason) []Action {
	g.actions = g.actions[:0]
	if g.done {
		return nil
	}
	g.remoteMayHaveRun = true
	for _, i := range g.Delegated[part] {
		g.markLacking(&g.shards[i], reason)
	}
	g.resolveHeld(now)
	return g.finishIfDue(now)
}

// ReclaimPart queries the shards of one part of Delegated from this host after the other host queried none of them.
func (g *Gather) ReclaimPart(now yuccahinge.Millis, part int) []Action {
	g.actions = g.actions[:0]
	if g.done {
		return nil
	}
	for _, i := range g.Delegated[part] {
		g.shards[i].delegated = false
		g.delegatedPending--
		g.startAttempt(now, i, First)
	}
	g.resolveHeld(now)
	return g.finishIfDue(now)
}
