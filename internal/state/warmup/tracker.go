// Package warmup tracks which searchers are cold: for some time after a start, and whenever they become so again, they are slow.
package warmup

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// presumedMs is how long a newly listed searcher counts as cold although its registration does not say so. Within this time a
	// searcher that has become cold since its last heartbeat writes the next one, and hosts read it.
	presumedMs = 3 * yuccahinge.Second
	// settleMs is the time after the first list in which no searcher counts as newly listed: the first list may come in parts.
	settleMs = 2 * yuccahinge.Second
	// jitterMs is how much later the end of a warm-up must be than the known one to count as that of another warm-up: each report
	// takes another time to reach this host.
	jitterMs = 1 * yuccahinge.Second
	// maxWarmupMs bounds a warm-up, so that one wrong report does not limit a searcher for good.
	maxWarmupMs = 24 * 3600 * yuccahinge.Second
)

// Tracker tracks which searchers are cold, from the list of searchers, their health responses and the notices of other hosts. It
// implements yuccahinge.WarmupTracker. The zero value is ready to use. It is safe for concurrent use, and Cold and Warmup take no
// lock.
type Tracker struct {
	// OnChange, if set, is called when searchers have become cold.
	OnChange func(Change)

	mu          sync.Mutex
	hasList     bool
	firstListAt yuccahinge.Millis
	listed      map[yuccahinge.SearcherID]place
	cold        atomic.Pointer[map[yuccahinge.SearcherID]yuccahinge.Warmup] // immutable; nil if it would be empty
}

// Change tells of searchers that have become cold.
type Change struct {
	Searchers []yuccahinge.SearcherID // sorted
	// LongestMs is the longest remaining warm-up time among them.
	LongestMs yuccahinge.Millis
	// Announcement is the notice for the other hosts if this host has learned of the warm-up from the searcher itself, else nil.
	Announcement *yuccahinge.Notice
}

// place is the service and the failure domain of a searcher.
type place struct {
	service yuccahinge.ServiceName
	domain  yuccahinge.DomainID
}

var _ yuccahinge.WarmupTracker = (*Tracker)(nil)

// Cold implements yuccahinge.WarmupTracker.
func (t *Tracker) Cold() int {
	if m := t.cold.Load(); m != nil {
		return len(*m)
	}
	return 0
}

// Warmup implements yuccahinge.WarmupTracker.
func (t *Tracker) Warmup(now yuccahinge.Millis, id yuccahinge.SearcherID) (yuccahinge.Warmup, bool) {
	m := t.cold.Load()
	if m == nil {
		return yuccahinge.Warmup{}, false
	}
	w, ok := (*m)[id]
	return w, ok && now < w.Until
}

// Update applies a new list of searchers. Call it before the list is used, so that no request reaches a newly listed searcher as a warm
// one.
func (t *Tracker) Update(now yuccahinge.Millis, services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	t.mu.Lock()
	if !t.hasList {
		t.hasList, t.firstListAt = true, now
	}
	settled := now >= t.firstListAt+settleMs
	listed := make(map[yuccahinge.SearcherID]place, len(t.listed))
	ends := make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	for name, all := range services {
		for _, r := range all {
			if r.Draining {
				continue
			}
			listed[r.ID] = place{name, r.Domain}
			left := r.WarmupLeftMs
			if _, known := t.listed[r.ID]; settled && !known {
				left = max(left, presumedMs)
			}
			if left > 0 {
				ends[r.ID] = now + left
			}
		}
	}
	t.listed = listed
	c, ok := t.extend(now, ends)
	t.mu.Unlock()
	t.report(c, ok)
}

// Observe applies the load report of a searcher's response.
func (t *Tracker) Observe(now yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if !(report.WarmupLeftMs > 0) {
		return
	}
	c, ok := t.extendOne(now, id, report.WarmupLeftMs)
	if ok {
		c.Announcement = &yuccahinge.Notice{Kind: yuccahinge.NoticeCold, Key: string(id), TTLMs: c.LongestMs}
	}
	t.report(c, ok)
}

// Learn applies a notice of another host.
func (t *Tracker) Learn(now yuccahinge.Millis, n *yuccahinge.Notice) {
	c, ok := t.extendOne(now, yuccahinge.SearcherID(n.Key), n.TTLMs)
	t.report(c, ok)
}

// Prune forgets the warm-ups that have ended.
func (t *Tracker) Prune(now yuccahinge.Millis) {
	if t.Cold() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extend(now, nil)
}

func (t *Tracker) extendOne(now yuccahinge.Millis, id yuccahinge.SearcherID, left yuccahinge.Millis) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.extend(now, map[yuccahinge.SearcherID]yuccahinge.Millis{id: now + left})
}

// extend records the ends of warm-ups of listed searchers, unless they are those of known ones, and drops the warm-ups that have ended. It
// reports whether a warm-up is new. No report ends one early. The caller holds the lock.
func (t *Tracker) extend(now yuccahinge.Millis, ends map[yuccahinge.SearcherID]yuccahinge.Millis) (Change, bool) {
	next := make(map[yuccahinge.SearcherID]yuccahinge.Warmup)
	if m := t.cold.Load(); m != nil {
		next = maps.Clone(*m)
	}
	var c Change
	for id, until := range ends {
		p, ok := t.listed[id]
		until = min(until, now+maxWarmupMs)
		if w, known := next[id]; !ok || known && until <= w.Until+jitterMs {
			continue
		}
		next[id] = yuccahinge.Warmup{Service: p.service, Domain: p.domain, From: now, Until: until}
		c.Searchers = append(c.Searchers, id)
		c.LongestMs = max(c.LongestMs, until-now)
	}
	maps.DeleteFunc(next, func(_ yuccahinge.SearcherID, w yuccahinge.Warmup) bool { return now >= w.Until })
	if len(next) == 0 {
		t.cold.Store(nil)
	} else {
		t.cold.Store(&next)
	}
	slices.Sort(c.Searchers)
	return c, len(c.Searchers) > 0
}

// report calls OnChange without holding the lock.
func (t *Tracker) report(c Change, ok bool) {
	if ok && t.OnChange != nil {
		t.OnChange(c)
	}
}
