// Package poison detects queries that crash searchers and quarantines them.
package poison

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	defaultQuarantineMs = 60 * yuccahinge.Second
	defaultMaxConfirmed = 64
	defaultBurstLosses  = 8
	// burstMs is the time window within which lost searchers count toward a burst.
	burstMs = 2 * yuccahinge.Second
	// suspectMs is how long a query stays a suspect after it last lost a searcher or another host reported it.
	suspectMs   = 60 * yuccahinge.Second
	maxSuspects = 256
	// provenSlots is the number of slots that store queries to which all shards replied.
	provenSlots = 8192
	// sameCrashMs is the time within which all connections lost to one crash are reported.
	sameCrashMs yuccahinge.Millis = 20
	// downMs is how long a lost searcher counts as down if it sends no reply.
	downMs = 60 * yuccahinge.Second
	// noReplyLosses is the number of lost searchers that confirms a query to which no searcher replied.
	noReplyLosses = 2
	// repeatedLosses is the number of lost searchers that confirms a query with some replies that lost searchers in several
	// requests.
	repeatedLosses = 3
	// cooldownMs is the time that a crashed searcher takes to restart.
	cooldownMs = 10 * yuccahinge.Second
	// gossipLosses is the number of lost searchers at which a suspect is announced to the other hosts.
	gossipLosses = 2
)

// Quarantine tracks the queries that were running when searchers were lost. The loss of two different searchers confirms a
// query to which no searcher replied. A query with some replies may crash only some shards, or may only have run at the same
// time as a poison query, so it takes the loss of three searchers over several requests. The loss of many searchers at once
// is attributed to the network and confirms nothing. The zero value is ready to use. A Quarantine is safe for concurrent
// use; Check, Proven and LostShard take no lock.
type Quarantine struct {
	// QuarantineMs is how long a confirmed query is refused.
	QuarantineMs yuccahinge.Millis
	// MaxConfirmed is the maximum number of queries in quarantine at a time.
	MaxConfirmed int
	// BurstLosses is the number of searchers lost within burstMs from which losses are attributed to the network.
	BurstLosses int

	queries atomic.Pointer[map[yuccahinge.Fingerprint]entry]
	proven  [provenSlots]atomic.Uint64

	downCount atomic.Int64 // len(downSince), readable without mu

	mu         sync.Mutex
	downSince  map[yuccahinge.SearcherID]yuccahinge.Millis // time of the loss; no reply since
	recentLoss map[yuccahinge.SearcherID]yuccahinge.Millis // time of the last loss, within burstMs
	lastBurst  yuccahinge.Millis                           // time at which recentLoss last reached BurstLosses
}

// entry is what is stored about one query. It is immutable once it is in the table.
type entry struct {
	confirmed     bool
	expires       yuccahinge.Millis
	refusedUntil  yuccahinge.Millis // a suspect is refused until this time
	lostSearchers []yuccahinge.SearcherID
	// lastShard is the shard that lost a searcher last.
	lastShard yuccahinge.ShardID
	// lastRequest is the request that lost a searcher last. severalRequests is set if more than one request lost searchers.
	lastRequest     yuccahinge.RequestID
	severalRequests bool
	// reportedByPeer is set if another host reported the query as a suspect.
	reportedByPeer bool
}

// Check returns the verdict on the query.
func (q *Quarantine) Check(now yuccahinge.Millis, f yuccahinge.Fingerprint) Verdict {
	t := q.queries.Load()
	if t == nil {
		return Clear
	}
	e, ok := (*t)[f]
	switch {
	case !ok || e.expires <= now:
		return Clear
	case e.confirmed:
		return Confirmed
	case now < e.refusedUntil:
		return Cooldown
	default:
		return Suspect
	}
}

// Proven reports whether all shards replied to the query recently, so it can be sent to all of them without a canary.
func (q *Quarantine) Proven(f yuccahinge.Fingerprint) bool {
	return q.proven[f%provenSlots].Load() == uint64(f)
}

// RecordComplete records that all shards replied to the query. The query is no longer a suspect.
func (q *Quarantine) RecordComplete(now yuccahinge.Millis, f yuccahinge.Fingerprint) {
	slot := &q.proven[f%provenSlots]
	if slot.Load() != uint64(f) {
		slot.Store(uint64(f))
	}
	if v := q.Check(now, f); v != Suspect && v != Cooldown {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now, func(t map[yuccahinge.Fingerprint]entry) {
		if !t[f].confirmed {
			delete(t, f)
		}
	})
}

// Loss is the loss of the connection to a searcher while it ran a query.
type Loss struct {
	Query    yuccahinge.Fingerprint
	Request  yuccahinge.RequestID
	Shard    yuccahinge.ShardID
	Searcher yuccahinge.SearcherID
	// OthersReplied is set if other searchers have replied to the same request or may still reply.
	OthersReplied bool
}

// RecordLoss records a loss and returns the new verdict on the query. It also reports whether the verdict should be
// announced to the other hosts.
func (q *Quarantine) RecordLoss(now yuccahinge.Millis, l Loss) (v Verdict, announce bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.markDown(now, l.Searcher) {
		return q.Check(now, l.Query), false
	}
	q.proven[l.Query%provenSlots].CompareAndSwap(uint64(l.Query), 0)
	burst := q.trackBurst(now, l.Searcher)
	q.update(now, func(t map[yuccahinge.Fingerprint]entry) {
		v, announce = q.updateEntry(now, t, &l, burst)
	})
	return v, announce
}

// LostShard returns the shard at which a suspect query lost a searcher last, or 0 if the query has no entry.
func (q *Quarantine) LostShard(f yuccahinge.Fingerprint) yuccahinge.ShardID {
	if t := q.queries.Load(); t != nil {
		return (*t)[f].lastShard
	}
	return 0
}

// RecordReply records a reply from a searcher, which is then no longer down. It takes a lock only while some searcher is
// down.
func (q *Quarantine) RecordReply(id yuccahinge.SearcherID) {
	if q.downCount.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.downSince, id)
	q.downCount.Store(int64(len(q.downSince)))
}

// addSuspect records the report of another host that the query lost several searchers, the last one at the shard.
func (q *Quarantine) addSuspect(now yuccahinge.Millis, f yuccahinge.Fingerprint, shard yuccahinge.ShardID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now, func(t map[yuccahinge.Fingerprint]entry) {
		if e, ok := t[f]; !e.confirmed && (ok || len(t) < maxSuspects) {
			e.reportedByPeer = true
			e.refusedUntil = now + cooldownMs
			e.lastShard = shard
			e.expires = now + suspectMs
			t[f] = e
		}
	})
}

// confirm quarantines a query that another host confirmed, for at most this host's quarantine time. It reports
// whether the query was added.
func (q *Quarantine) confirm(now yuccahinge.Millis, f yuccahinge.Fingerprint, ttl yuccahinge.Millis) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	added := false
	q.update(now, func(t map[yuccahinge.Fingerprint]entry) {
		if t[f].confirmed || q.isFull(t) {
			return
		}
		t[f] = entry{confirmed: true, expires: now + min(ttl, q.quarantineMs())}
		added = true
	})
	return added
}

func (q *Quarantine) updateEntry(now yuccahinge.Millis, t map[yuccahinge.Fingerprint]entry, l *Loss, burst bool) (Verdict, bool) {
	e, ok := t[l.Query]
	if e.confirmed {
		return Confirmed, false
	}
	if !ok && len(t) >= maxSuspects {
		return Clear, false
	}
	e.expires = now + suspectMs
	if burst {
		e.lostSearchers = nil
		t[l.Query] = e
		return Suspect, false
	}
	before := len(e.lostSearchers)
	e.severalRequests = e.severalRequests || (ok && e.lastRequest != l.Request)
	e.lastRequest = l.Request
	e.lastShard = l.Shard
	e.lostSearchers = appendUnique(e.lostSearchers, l.Searcher)
	if e.losses() >= e.threshold(l.OthersReplied) && !q.isFull(t) {
		t[l.Query] = entry{confirmed: true, expires: now + q.quarantineMs()}
		return Confirmed, true
	}
	announce := before < gossipLosses && len(e.lostSearchers) == gossipLosses
	if announce {
		e.refusedUntil = now + cooldownMs
	}
	t[l.Query] = e
	return Suspect, announce
}

// losses returns the number of searchers that this host lost to the query, plus gossipLosses if another host reported
// the query.
func (e *entry) losses() int {
	if e.reportedByPeer {
		return len(e.lostSearchers) + gossipLosses
	}
	return len(e.lostSearchers)
}

// threshold returns the number of losses that confirms the query. The losses of a single request never confirm a query
// with some replies.
func (e *entry) threshold(othersReplied bool) int {
	switch {
	case !othersReplied:
		return noReplyLosses
	case e.severalRequests || e.reportedByPeer:
		return repeatedLosses
	default:
		return math.MaxInt
	}
}

// markDown marks the searcher as down and reports whether it was down already, that is lost before without a
// reply since. A proxy in front of a searcher that is down may close its connections, which no query has
// caused. Losses within sameCrashMs of the first belong to the same crash and count.
func (q *Quarantine) markDown(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	at, ok := q.downSince[id]
	if ok && now < at+downMs {
		return now > at+sameCrashMs
	}
	if q.downSince == nil {
		q.downSince = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	}
	maps.DeleteFunc(q.downSince, func(_ yuccahinge.SearcherID, at yuccahinge.Millis) bool { return at+downMs <= now })
	q.downSince[id] = now
	q.downCount.Store(int64(len(q.downSince)))
	return false
}

// trackBurst records a lost searcher and reports whether so many were lost recently that the cause is the network.
func (q *Quarantine) trackBurst(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if q.recentLoss == nil {
		q.recentLoss = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	}
	q.recentLoss[id] = now
	maps.DeleteFunc(q.recentLoss, func(_ yuccahinge.SearcherID, at yuccahinge.Millis) bool { return at+burstMs < now })
	if len(q.recentLoss) >= q.burstLosses() {
		q.lastBurst = now
	}
	return q.lastBurst > 0 && now < q.lastBurst+burstMs
}

// update replaces the table with a changed copy without expired entries. The caller must hold q.mu.
func (q *Quarantine) update(now yuccahinge.Millis, change func(map[yuccahinge.Fingerprint]entry)) {
	next := make(map[yuccahinge.Fingerprint]entry)
	if old := q.queries.Load(); old != nil {
		for f, e := range *old {
			if e.expires > now {
				next[f] = e
			}
		}
	}
	change(next)
	q.queries.Store(&next)
}

func (q *Quarantine) isFull(t map[yuccahinge.Fingerprint]entry) bool {
	n := 0
	for _, e := range t {
		if e.confirmed {
			n++
		}
	}
	return n >= q.maxConfirmed()
}

func appendUnique(ids []yuccahinge.SearcherID, id yuccahinge.SearcherID) []yuccahinge.SearcherID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(slices.Clone(ids), id)
}

func (q *Quarantine) quarantineMs() yuccahinge.Millis {
	if q.QuarantineMs > 0 {
		return q.QuarantineMs
	}
	return defaultQuarantineMs
}

func (q *Quarantine) maxConfirmed() int {
	if q.MaxConfirmed > 0 {
		return q.MaxConfirmed
	}
	return defaultMaxConfirmed
}

func (q *Quarantine) burstLosses() int {
	if q.BurstLosses > 0 {
		return q.BurstLosses
	}
	return defaultBurstLosses
}
