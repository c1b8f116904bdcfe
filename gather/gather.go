// Package gather decides, for one search, which searchers are queried, when attempts are hedged or retried, and
// when the answer is due.
package gather

import (
	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// ErrCoverage reports that covered and lacking shards do not add up to the shards of the pinned index.
var ErrCoverage = errors.New("covered and lacking shards do not add up to the shards of the pinned index")

// ErrForeignReply reports that a counted reply belongs to another request, shard or index version.
var ErrForeignReply = errors.New("counted reply belongs to another request, shard or index version")

// Gather is the state machine of one query over one pinned index. Set the exported fields, call Start
// once, then HandleResult at the end of each attempt and Tick at the instant that NextTick returns, and execute the
// actions that each returns; they are valid until the next call. Answer is ready after the Finish action. HandleResult
// must still be called for attempts in flight, so that the Observer is notified of their end.
//
// The policies may be nil: without Picker the replicas are tried in order, without Hedger there are no hedges, and
// without budgets each shard may be hedged once and retried once.
type Gather struct {
	Request yuccahinge.RequestID
	Service yuccahinge.ServiceName
	Ticket  yuccahinge.TicketNumber
	Index   *yuccahinge.Index
	// Deadline is the latest instant of the answer.
	Deadline yuccahinge.Millis
	// SoftDeadline is the instant from which EnoughCoverage suffices for the answer; zero waits for every shard.
	SoftDeadline yuccahinge.Millis
	// EnoughCoverage is the share of shards, 0 to 1, that suffices at the soft deadline. At least one shard is needed, except for a part.
	EnoughCoverage yuccahinge.ShardShare
	// MaxHits limits the hits of the answer; zero keeps all.
	MaxHits int
	// Domain is the failure domain of this host. Canaries prefer a shard that has a replica in it.
	Domain yuccahinge.DomainID
	// Canary queries up to two shards first, and the others after a reply or after CanaryMs without a lost
	// connection, so that a query that crashes searchers reaches few of them.
	Canary bool
	// CanaryMs is how long the other shards wait for a canary; zero means 4 ms.
	CanaryMs yuccahinge.Millis
	// Proven is set if all shards replied to the same query recently. Every attempt whose connection is lost is
	// then retried.
	Proven bool
	// Suspect is set if the query crashed a searcher before. It is neither hedged nor retried.
	Suspect bool
	// HoldLost delays the retries of lost connections until a searcher has replied, because the query may crash every
	// searcher that runs it. If none is left to reply, one shard is retried alone, except in a part for another host.
	HoldLost bool
	// IsPart is set if another host delegated the shards to this one. A part ends at the soft deadline with what it has.
	IsPart bool
	// MinCoverage is the share of shards, 0 to 1, that an answer needs, at least one shard. The query ends as soon as it can no
	// longer be reached.
	MinCoverage yuccahinge.ShardShare
	// MaxAttempts limits the attempts at each shard to at most 4; zero means 4, of which one may be a retry.
	MaxAttempts int
	// AtMostOnce is set if the query must not run twice: it is never hedged, and an attempt is retried only if it
	// did not run.
	AtMostOnce bool
	// NoReissue keeps a late first attempt in flight: a further hedge goes to the next replica, and the first
	// attempt is not reissued.
	NoReissue bool
	// Delegated holds, for each part that another host queries, the positions of its shards in Index. The parts are sent
	// after Start, unless the query is done then. Each part ends with a call of HandlePart, HandlePartLost or ReclaimPart.
	Delegated [][]int
	// HasRoom restricts hedges to searchers for which it returns true; nil allows all.
	HasRoom func(now yuccahinge.Millis, id yuccahinge.SearcherID) bool
	// InTrouble reports whether a searcher rejects requests without load. Its refusals then don't count as load; nil
	// means that none does.
	InTrouble func(now yuccahinge.Millis, id yuccahinge.SearcherID) bool
	// SuspectShard is the shard at which a suspect query crashed a searcher. It is queried first.
	SuspectShard yuccahinge.ShardID

	Picker yuccahinge.Picker
	// Room tells a shard whose searchers have no room for a call from one without a searcher; nil takes every shard that
	// can't be queried for the latter.
	Room yuccahinge.RoomEstimator
	// Estimator allows shards to be skipped at the start whose replies are expected after the soft deadline; nil
	// queries every shard.
	Estimator       yuccahinge.LatencyEstimator
	Hedger          yuccahinge.Hedger
	LatencyRecorder yuccahinge.LatencyRecorder
	Observer        yuccahinge.AttemptObserver
	RetryBudget     yuccahinge.AttemptBudget
	HedgeBudget     yuccahinge.AttemptBudget
	// OnConnectionLost, if set, is called for each connection that is lost while the query runs; proven reports whether
	// other searchers have replied to this query or may still reply. It returns true if the query must be abandoned
	// as a poison query.
	OnConnectionLost func(now yuccahinge.Millis, shard yuccahinge.ShardID, id yuccahinge.SearcherID, proven bool) bool

	shards           []shard
	attempts         []attempt
	actions          []Action
	settledCount     int               // shards with a reply or marked as lacking
	delegatedPending int               // unsettled shards that another host queries
	partsSent        bool              // the parts were sent to their hosts, after Start
	remoteMayHaveRun bool              // a searcher that another host queried may have run the query
	coveredCount     int               // shards with a reply
	invalidCount     int               // results that were invalid or for an unknown or ended attempt
	lostConns        int               // connections lost while the query ran
	losses           losses            // searchers lost without a response, and responses
	held             held              // shards whose retry waits for a reply of another shard
	lossRetryAt      yuccahinge.Millis // instant of the retry after the first lost connection; zero for none
	firstLostShard   int               // index of the shard whose connection was lost first
	awaitingCanary   bool              // the other shards wait for a canary
	nextShard        int               // index from which the next canary is chosen
	canaryDeadline   yuccahinge.Millis
	halfCoveredAt    yuccahinge.Millis
	lastCoveredAt    yuccahinge.Millis
	minCoverageAt    yuccahinge.Millis // instant at which MinCoverage was reached; zero before
	load             Load
	rejected         bool // a searcher rejected an attempt without load
	// nextHedgeAt is the earliest hedgeAt of the shards and nextLateHedgeAt the earliest lateHedgeAt; zero for none.
	nextHedgeAt     yuccahinge.Millis
	nextLateHedgeAt yuccahinge.Millis
	done            bool
	poisoned        bool
	softReached     bool
}

// Start sends the first attempts.
func (g *Gather) Start(now yuccahinge.Millis) []Action {
	n := len(g.Index.Shards)
	g.shards = make([]shard, n)
	g.attempts = make([]attempt, 0, n+n/4+1)
	g.actions = make([]Action, 0, n+1)
	for i := range g.shards {
		g.shards[i].index = i
		g.shards[i].spec = &g.Index.Shards[i]
	}
	g.markDelegated()
	g.skipOverloaded(now)
	if (g.Canary || g.Suspect) && n > 1 {
		g.awaitingCanary = true
		g.sendCanaries(now)
	} else {
		g.sendRemaining(now)
	}
	actions := g.finishIfDue(now)
	g.partsSent = !g.done
	return actions
}

// HandleResult handles the end of an attempt. A result for an attempt that is unknown or has already ended only counts
// as invalid.
func (g *Gather) HandleResult(now yuccahinge.Millis, id yuccahinge.AttemptID, r *yuccahinge.ShardResult) []Action {
	g.actions = g.actions[:0]
	a := g.attemptByID(id)
	if a == nil || a.ended {
		g.invalidCount++
		return nil
	}
	a.ended = true
	s := &g.shards[a.shard]
	s.inFlight--
	g.notifyPolicies(now, a, s, r)
	g.losses.count(now, a, r)
	if g.done {
		return nil
	}
	g.applyResult(now, id, a, s, r)
	g.resolveHeld(now)
	g.sendDueHedges(now)
	return g.finishIfDue(now)
}

// Tick sends the attempts that are due at the instant now, and ends the query if its deadline has passed.
func (g *Gather) Tick(now yuccahinge.Millis) []Action {
	g.actions = g.actions[:0]
	if g.done {
		return nil
	}
	if g.awaitingCanary && now >= g.canaryDeadline {
		g.endCanaryWait(now)
	}
	g.retryLostShard(now)
	g.sendDueHedges(now)
	return g.finishIfDue(now)
}

// Stop ends the query early, for a caller that no longer waits for the answer.
func (g *Gather) Stop() []Action {
	g.actions = g.actions[:0]
	if g.done {
		return nil
	}
	g.finish()
	return g.actions
}

// NextTick returns the instant at which Tick must be called, or false before Start and after the end of the query.
func (g *Gather) NextTick() (yuccahinge.Millis, bool) {
	if g.done || g.shards == nil {
		return 0, false
	}
	at := g.Deadline
	if g.SoftDeadline > 0 && g.SoftDeadline < at && !g.softPassed() {
		at = g.SoftDeadline
	}
	if g.awaitingCanary {
		return min(at, g.canaryDeadline), true
	}
	if g.lossRetryAt > 0 {
		at = min(at, g.lossRetryAt)
	}
	if hedge, ok := g.nextHedgeTick(); ok {
		at = min(at, hedge)
	}
	return at, true
}

// Done reports whether the query has ended. Attempts may still be in flight.
func (g *Gather) Done() bool { return g.done }

// Poisoned reports whether the query was abandoned because it crashes searchers.
func (g *Gather) Poisoned() bool { return g.poisoned }

// InFlight returns the number of attempts that have not ended.
func (g *Gather) InFlight() int {
	n := 0
	for i := range g.attempts {
		if !g.attempts[i].ended {
			n++
		}
	}
	return n
}

// AttemptsSent returns the number of attempts sent, including hedges and retries.
func (g *Gather) AttemptsSent() int { return len(g.attempts) }

// HalfCoveredAt returns the instant at which half of the shards were covered, or false before it. Unlike the end of the
// query, it reflects the load of the whole service and not a straggler or an unreachable failure domain.
func (g *Gather) HalfCoveredAt() (yuccahinge.Millis, bool) {
	return g.halfCoveredAt, g.halfCoveredAt > 0
}

// MinCoverageAt returns the instant at which MinCoverage was reached, or false before it.
func (g *Gather) MinCoverageAt() (yuccahinge.Millis, bool) {
	return g.minCoverageAt, g.minCoverageAt > 0
}

// Load returns the queueing and refusals that attempts have met so far, including those of other hosts.
func (g *Gather) Load() Load { return g.load }

// TooManyRefused reports whether so many shards refused an attempt because of their load that the others cannot reach MinCoverage.
func (g *Gather) TooManyRefused() bool {
	n := len(g.shards)
	return n-g.load.Refused < g.MinCoverage.Of(n)
}

// OnlyRejected reports whether attempts were rejected without load, and none was queued or refused because of load.
func (g *Gather) OnlyRejected() bool { return g.rejected && g.load.Queued == 0 && g.load.Refused == 0 }

// Covered returns the number of shards that replied, here or to another host.
func (g *Gather) Covered() int { return g.coveredCount }

// EachReply calls f for the reply of each shard that this host covered, in the order of the index.
func (g *Gather) EachReply(f func(spec *yuccahinge.Shard, r *yuccahinge.ShardReply)) {
	for i := range g.shards {
		if s := &g.shards[i]; s.reply != nil {
			f(s.spec, s.reply)
		}
	}
}

// FirstLackingReason returns why the first lacking shard has no reply, or an empty reason if none is lacking.
func (g *Gather) FirstLackingReason() yuccahinge.Reason {
	for i := range g.shards {
		if s := &g.shards[i]; s.lacking {
			return s.reason
		}
	}
	return ""
}

// EachLacking calls f for each shard without a reply, here and at other hosts, with the searchers that were queried for
// it.
func (g *Gather) EachLacking(f func(spec *yuccahinge.Shard, reason yuccahinge.Reason, tried []yuccahinge.SearcherID)) {
	for i := range g.shards {
		if s := &g.shards[i]; s.reply == nil && !s.coveredRemotely {
			f(s.spec, s.reason, s.tried[:s.attemptsSent])
		}
	}
}

// NoneRan reports whether no searcher ran the query: every attempt ended with proof that it did not run, and no
// other host may have run it.
func (g *Gather) NoneRan() bool {
	if g.delegatedPending > 0 || g.remoteMayHaveRun {
		return false
	}
	for i := range g.attempts {
		if a := &g.attempts[i]; !a.ended || !a.notRun {
			return false
		}
	}
	return true
}

// InvalidReplies returns the number of replies that were not counted because they were late, duplicated or for another
// request.
func (g *Gather) InvalidReplies() int { return g.invalidCount }

func (g *Gather) attemptByID(id yuccahinge.AttemptID) *attempt {
	if id == 0 || int(id) > len(g.attempts) {
		return nil
	}
	return &g.attempts[id-1]
}

// pendingShards returns the number of unsettled shards that this host queries.
func (g *Gather) pendingShards() int { return len(g.shards) - g.settledCount - g.delegatedPending }
