// Package poison provides the quarantine of queries that crash the searchers that run them.
package poison

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	defaultHold       = 60 * yuccahinge.Second
	defaultConfirmed  = 64
	defaultBurst      = 8
	burstMs           = 2 * yuccahinge.Second
	suspectMs         = 60 * yuccahinge.Second
	maxSuspects       = 256
	lossesToConfirm   = 2
	provenSlots       = 8192
	lossesAfterProven = 4
)

// Poison remembers which queries lost searchers. A query is confirmed when two different searchers were
// lost while they ran it and none ever replied to it. Losses of many searchers at once are a fault of the
// network and confirm nothing. The zero value is ready to use; checks take no lock.
type Poison struct {
	// HoldMs is how long a confirmed query is refused.
	HoldMs yuccahinge.Millis
	// MaxConfirmed bounds the queries refused at a time.
	MaxConfirmed int
	// Burst is the number of searchers lost within two seconds from which the network is blamed.
	Burst int

	table  atomic.Pointer[map[yuccahinge.Fingerprint]entry]
	proven [provenSlots]atomic.Uint64

	mu     sync.Mutex
	lost   map[yuccahinge.SearcherID]yuccahinge.Millis
	bursts yuccahinge.Millis
}

// entry is immutable once it stands in the table.
type entry struct {
	confirmed bool
	until     yuccahinge.Millis
	searchers []yuccahinge.SearcherID
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
	default:
		return Suspect
	}
}

// Proven reports whether a searcher replied to the query lately, so that it may be sent to all shards at once.
func (p *Poison) Proven(f yuccahinge.Fingerprint) bool {
	return p.proven[f%provenSlots].Load() == uint64(f)
}

// Ran notes that a searcher replied to the query.
func (p *Poison) Ran(now yuccahinge.Millis, f yuccahinge.Fingerprint) {
	slot := &p.proven[f%provenSlots]
	if slot.Load() != uint64(f) {
		slot.Store(uint64(f))
	}
	if p.Check(now, f) != Suspect {
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

// Lost notes that the connection to a searcher was lost while it ran the query, and reports whether the
// query is confirmed by it. Proven says that another searcher replied to the same request.
func (p *Poison) Lost(now yuccahinge.Millis, f yuccahinge.Fingerprint, id yuccahinge.SearcherID, proven bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.burst(now, id) {
		return false
	}
	need := lossesToConfirm
	if proven {
		need = lossesAfterProven
	}
	confirmed := false
	p.edit(now, func(t map[yuccahinge.Fingerprint]entry) {
		confirmed = p.blame(now, t, f, id, need)
	})
	return confirmed
}

// Confirm takes another host's word that the query is poisoned. It reports whether that was news.
func (p *Poison) Confirm(now yuccahinge.Millis, f yuccahinge.Fingerprint, hold yuccahinge.Millis) bool {
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

// Hold returns how long a confirmed query is refused.
func (p *Poison) Hold() yuccahinge.Millis { return p.hold() }

func (p *Poison) blame(now yuccahinge.Millis, t map[yuccahinge.Fingerprint]entry, f yuccahinge.Fingerprint, id yuccahinge.SearcherID, need int) bool {
	e, ok := t[f]
	if e.confirmed {
		return true
	}
	if !ok && len(t) >= maxSuspects {
		return false
	}
	e.searchers = with(e.searchers, id)
	e.until = now + suspectMs
	if len(e.searchers) >= need && !p.full(t) {
		e = entry{confirmed: true, until: now + p.hold()}
	}
	t[f] = e
	return e.confirmed
}

// burst notes a lost searcher and reports whether too many were lost lately to blame a query. Suspicions
// that arose within the burst are dropped.
func (p *Poison) burst(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if p.lost == nil {
		p.lost = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	}
	p.lost[id] = now
	recent := 0
	for other, at := range p.lost {
		if at+burstMs < now {
			delete(p.lost, other)
			continue
		}
		recent++
	}
	if recent >= p.maxBurst() {
		p.bursts = now
		p.edit(now, dropSuspects)
	}
	return p.bursts > 0 && now < p.bursts+burstMs
}

func dropSuspects(t map[yuccahinge.Fingerprint]entry) {
	for f, e := range t {
		if !e.confirmed {
			delete(t, f)
		}
	}
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
	out := make([]yuccahinge.SearcherID, 0, len(ids)+1)
	for _, other := range ids {
		if other == id {
			return ids
		}
		out = append(out, other)
	}
	return append(out, id)
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
