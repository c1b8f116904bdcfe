// Package reject tracks the searchers that reject requests although they have free slots. Such a searcher is in trouble, not
// full: its replicas should be called first, and fewer requests would not help it.
package reject

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// TroubleMs is how long a searcher counts as in trouble after a rejection. A host that sends a searcher a request only now
// and then would forget a shorter trouble before its next request.
const TroubleMs = 5 * yuccahinge.Second

// Tracker tracks until when each searcher counts as in trouble. The zero value is ready to use, and for a nil Tracker no
// searcher is in trouble. It is safe for concurrent use; readers take no lock.
type Tracker struct {
	mu      sync.Mutex // serializes writes to entries
	entries sync.Map   // of yuccahinge.SearcherID to entry
	count   atomic.Int64
}

// entry is the trouble of one incarnation of a searcher.
type entry struct {
	incarnation yuccahinge.Incarnation
	until       yuccahinge.Millis
}

// Observe records the result of an attempt. It reports whether the searcher was not in trouble before and is now.
func (t *Tracker) Observe(now yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.ShardResult) bool {
	if t == nil {
		return false
	}
	if r.RefusedWithoutLoad() {
		return t.mark(now, id, entry{r.Reply.Load.Incarnation, now + TroubleMs})
	}
	if report := r.LoadReport(); report != nil && report.Incarnation != "" && t.Len() > 0 {
		t.endEarlier(id, report.Incarnation)
	}
	return false
}

// Mark records that another host has found a searcher in trouble, and reports whether that is new.
func (t *Tracker) Mark(now yuccahinge.Millis, id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation, ttl yuccahinge.Millis) bool {
	if t == nil {
		return false
	}
	return t.mark(now, id, entry{incarnation, now + min(ttl, TroubleMs)})
}

func (t *Tracker) mark(now yuccahinge.Millis, id yuccahinge.SearcherID, next entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entry(id)
	if known && old.incarnation == next.incarnation {
		next.until = max(next.until, old.until)
	}
	if !known {
		t.count.Add(1)
	}
	t.entries.Store(id, next)
	return !known || now >= old.until
}

// endEarlier ends the trouble of an earlier incarnation of a searcher.
func (t *Tracker) endEarlier(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	if e, known := t.entry(id); !known || e.incarnation == incarnation {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.entry(id); known && e.incarnation != incarnation {
		t.remove(id)
	}
}

// InTrouble reports whether a searcher counts as in trouble.
func (t *Tracker) InTrouble(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if t.Len() == 0 {
		return false
	}
	e, _ := t.entry(id)
	return now < e.until
}

// Len returns the number of searchers that are in trouble, or were until the last Prune.
func (t *Tracker) Len() int {
	if t == nil {
		return 0
	}
	return int(t.count.Load())
}

// Prune removes the troubles that have ended.
func (t *Tracker) Prune(now yuccahinge.Millis) {
	if t.Len() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries.Range(func(id, v any) bool {
		if now >= v.(entry).until {
			t.remove(id.(yuccahinge.SearcherID))
		}
		return true
	})
}

// remove removes an entry. The caller holds the lock.
func (t *Tracker) remove(id yuccahinge.SearcherID) {
	t.entries.Delete(id)
	t.count.Add(-1)
}

func (t *Tracker) entry(id yuccahinge.SearcherID) (entry, bool) {
	v, ok := t.entries.Load(id)
	if !ok {
		return entry{}, false
	}
	return v.(entry), true
}
