// Package poison provides the quarantine of queries that crash the searchers that run them.
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
	defaultHold      = 60 * yuccahinge.Second
	defaultConfirmed = 64
	defaultBurst     = 8
	burstMs          = 2 * yuccahinge.Second
	suspectMs        = 60 * yuccahinge.Second
	maxSuspects      = 256
	provenSlots      = 8192
	// togetherMs is the time in which the losses of one crash are noticed.
	togetherMs yuccahinge.Millis = 20
	// downMs is how long a lost searcher that brings no reply is held to be down.
	downMs = 60 * yuccahinge.Second
	// unprovenLosses confirm a query to which no searcher replied.
	unprovenLosses = 2
	// repeatedLosses confirm a query over more than one request.
	repeatedLosses = 3
	// restMs is the time in which a crashed searcher comes back.
	restMs = 10 * yuccahinge.Second
	// tellLosses within one request are told to the other hosts.
	tellLosses = 2
)

// Poison remembers which queries lost searchers. A query that no searcher replied to is confirmed by the
// loss of two different ones. A query that some shards reply to may be deadly for others, but may as well
// have stood beside a deadly one: it takes three losses over several requests. Losses of many searchers at
// once are a fault of the network and confirm nothing. The zero value is ready to use; checks take no lock.
type Poison struct {
	// HoldMs is how long a confirmed query is refused.
	HoldMs yuccahinge.Millis
	// MaxConfirmed bounds the queries refused at a time.
	MaxConfirmed int
	// Burst is the number of searchers lost within two seconds from which the network is blamed.
	Burst int

	table  atomic.Pointer[map[yuccahinge.Fingerprint]entry]
	proven [provenSlots]atomic.Uint64

	downs atomic.Int64 // the length of down

	mu     sync.Mutex
	down   map[yuccahinge.SearcherID]yuccahinge.Millis // lost and not heard of since
	lost   map[yuccahinge.SearcherID]yuccahinge.Millis
	blamed yuccahinge.Millis // instant at which the network was last blamed
}

// entry is immutable once it stands in the table.
type entry struct {
	confirmed bool
	until     yuccahinge.Millis
	rest      yuccahinge.Millis // refused until here though not confirmed
	searchers []yuccahinge.SearcherID
	// shard is the last one whose searcher was lost.
	shard yuccahinge.ShardID
	// request is the last one that lost a searcher; repeated says that it was not the first.
	request  yuccahinge.RequestID
	repeated bool
	// heard says that another host lost searchers to the query.
	heard bool
}

// Check returns what is held against the query.
func (p *Poison) Check(now yuccahinge.Millis, f yuccahinge.Fingerprint) Verdict {
	t := p.table.Load()
	if t == nil {
		return Clear
	}
	e, ok := (*t)[f]
	switch {
	case !ok || e.until <= now:
		return Clear
	case e.confirmed:
		return Confirmed
	case now < e.rest:
		return Resting
	default:
		return Suspect
	}
}

// Proven reports whether all shards replied to the query lately, so that it may be sent to them at once.
func (p *Poison) Proven(f yuccahinge.Fingerprint) bool {
	return p.proven[f%provenSlots].Load() == uint64(f)
}

// Clear notes that all shards replied to the query.
func (p *Poison) Clear(now yuccahinge.Millis, f yuccahinge.Fingerprint) {
	slot := &p.proven[f%provenSlots]
	if slot.Load() != uint64(f) {
		slot.Store(uint64(f))
	}
	if v := p.Check(now, f); v != Suspect && v != Resting {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edit(now, func(t map[yuccahinge.Fingerprint]entry) {
		if !t[f].confirmed {
			delete(t, f)
		}
	})
}

// Loss is a connection to a searcher that was lost while it ran a query.
type Loss struct {
	Query    yuccahinge.Fingerprint
	Request  yuccahinge.RequestID
	Shard    yuccahinge.ShardID
	Searcher yuccahinge.SearcherID
	// Proven says that other searchers have replied to the same request or may still reply.
	Proven bool
}

// Lost notes a loss and returns what is held against the query now. News says that the other hosts should
// hear of it.
func (p *Poison) Lost(now yuccahinge.Millis, l Loss) (v Verdict, news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wasDown(now, l.Searcher) {
		return p.Check(now, l.Query), false
	}
	p.proven[l.Query%provenSlots].CompareAndSwap(uint64(l.Query), 0)
	burst := p.burst(now, l.Searcher)
	p.edit(now, func(t map[yuccahinge.Fingerprint]entry) {
		v, news = p.blame(now, t, &l, burst)
	})
	return v, news
}

// Shard returns the shard at which a suspect query lost a searcher.
func (p *Poison) Shard(f yuccahinge.Fingerprint) yuccahinge.ShardID {
	if t := p.table.Load(); t != nil {
		return (*t)[f].shard
	}
	return 0
}

// Replied notes that a searcher is alive. It takes a lock only after a loss.
func (p *Poison) Replied(id yuccahinge.SearcherID) {
	if p.downs.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.down, id)
	p.downs.Store(int64(len(p.down)))
}

// suspect takes another host's word that the query lost several searchers, the last one at the shard.
func (p *Poison) suspect(now yuccahinge.Millis, f yuccahinge.Fingerprint, shard yuccahinge.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edit(now, func(t map[yuccahinge.Fingerprint]entry) {
		if e, ok := t[f]; !e.confirmed && (ok || len(t) < maxSuspects) {
			e.heard = true
			e.rest = now + restMs
			e.shard = shard
			e.until = now + suspectMs
			t[f] = e
		}
	})
}

// confirm takes another host's word that the query is poisoned. It reports whether that was news.
func (p *Poison) confirm(now yuccahinge.Millis, f yuccahinge.Fingerprint, hold yuccahinge.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := false
	p.edit(now, func(t map[yuccahinge.Fingerprint]entry) {
		if t[f].confirmed || p.full(t) {
			return
		}
		t[f] = entry{confirmed: true, until: now + min(hold, p.hold())}
		news = true
	})
	return news
}

func (p *Poison) blame(now yuccahinge.Millis, t map[yuccahinge.Fingerprint]entry, l *Loss, burst bool) (Verdict, bool) {
	e, ok := t[l.Query]
	if e.confirmed {
		return Confirmed, false
	}
	if !ok && len(t) >= maxSuspects {
		return Clear, false
	}
	e.until = now + suspectMs
	if burst {
		e.searchers = nil
		t[l.Query] = e
		return Suspect, false
	}
	before := len(e.searchers)
	e.repeated = e.repeated || (ok && e.request != l.Request)
	e.request = l.Request
	e.shard = l.Shard
	e.searchers = with(e.searchers, l.Searcher)
	if e.losses() >= e.needed(l.Proven) && !p.full(t) {
		t[l.Query] = entry{confirmed: true, until: now + p.hold()}
		return Confirmed, true
	}
	news := before < tellLosses && len(e.searchers) == tellLosses
	if news {
		e.rest = now + restMs
	}
	t[l.Query] = e
	return Suspect, news
}

// losses counts the searchers lost here and, if it was heard of, elsewhere.
func (e *entry) losses() int {
	if e.heard {
		return len(e.searchers) + tellLosses
	}
	return len(e.searchers)
}

// needed returns the number of searchers whose loss confirms the query.
func (e *entry) needed(proven bool) int {
	switch {
	case !proven:
		return unprovenLosses
	case e.repeated || e.heard:
		return repeatedLosses
	default:
		return math.MaxInt
	}
}

// wasDown reports whether the searcher had been lost before and has not replied since: its connections may
// be closed by whatever stands in front of it, and no query is to blame for that. Losses together with the
// first are of one crash.
func (p *Poison) wasDown(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	at, ok := p.down[id]
	if ok && now < at+downMs {
		return now > at+togetherMs
	}
	if p.down == nil {
		p.down = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	}
	maps.DeleteFunc(p.down, func(_ yuccahinge.SearcherID, at yuccahinge.Millis) bool { return at+downMs <= now })
	p.down[id] = now
	p.downs.Store(int64(len(p.down)))
	return false
}

// burst notes a lost searcher and reports whether too many were lost lately to blame a query.
func (p *Poison) burst(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if p.lost == nil {
		p.lost = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	}
	p.lost[id] = now
	maps.DeleteFunc(p.lost, func(_ yuccahinge.SearcherID, at yuccahinge.Millis) bool { return at+burstMs < now })
	if len(p.lost) >= p.maxBurst() {
		p.blamed = now
	}
	return p.blamed > 0 && now < p.blamed+burstMs
}

// edit publishes a changed copy of the table without what has expired. The caller holds the lock.
func (p *Poison) edit(now yuccahinge.Millis, change func(map[yuccahinge.Fingerprint]entry)) {
	next := make(map[yuccahinge.Fingerprint]entry)
	if old := p.table.Load(); old != nil {
		for f, e := range *old {
			if e.until > now {
				next[f] = e
			}
		}
	}
	change(next)
	p.table.Store(&next)
}

func (p *Poison) full(t map[yuccahinge.Fingerprint]entry) bool {
	n := 0
	for _, e := range t {
		if e.confirmed {
			n++
		}
	}
	return n >= p.maxConfirmed()
}

func with(ids []yuccahinge.SearcherID, id yuccahinge.SearcherID) []yuccahinge.SearcherID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(slices.Clone(ids), id)
}

func (p *Poison) hold() yuccahinge.Millis {
	if p.HoldMs > 0 {
		return p.HoldMs
	}
	return defaultHold
}

func (p *Poison) maxConfirmed() int {
	if p.MaxConfirmed > 0 {
		return p.MaxConfirmed
	}
	return defaultConfirmed
}

func (p *Poison) maxBurst() int {
	if p.Burst > 0 {
		return p.Burst
	}
	return defaultBurst
}
