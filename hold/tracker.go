// Package hold tracks the searchers that have asked this host to send them nothing for a time.
package hold

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// forgetMs is how long the hold of a searcher is kept after it was last listed. A searcher may be listed again after an
// outage of the platform.
const forgetMs = 600 * yuccahinge.Second

// Tracker tracks when each hold ends. The zero value is ready to use, and a nil Tracker holds no searcher. It is safe for
// concurrent use; readers take no lock.
type Tracker struct {
	// OnChange, if set, is called with each hold that begins and each one that can't be decoded. Set it before the first
	// Observe.
	OnChange func(Change)

	mu       sync.Mutex // serializes writes to entries
	entries  sync.Map   // of yuccahinge.SearcherID to *entry, immutable once stored
	count    atomic.Int64
	unlisted map[yuccahinge.SearcherID]yuccahinge.Millis // when a searcher with an entry was first seen not to be listed
}

// entry is the hold of one incarnation of a searcher.
type entry struct {
	incarnation yuccahinge.Incarnation
	end         yuccahinge.Millis
	malformed   string // the last text that could not be decoded
}

// Change is a hold that begins, or a text that is none.
type Change struct {
	Searcher yuccahinge.SearcherID
	HoldMs   yuccahinge.Millis
	// Malformed is the text of a hold that can't be decoded and has no effect.
	Malformed string
}

// Observe records the load report of a response. A hold never ends before a response has asked for it to end, not even if
// a later response asks for a shorter one or for none. Another incarnation of the searcher ends it.
func (t *Tracker) Observe(now yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if t == nil {
		return
	}
	if report.HoldMs <= 0 && report.MalformedHold == "" {
		// Most responses change nothing.
		if e, known := t.entry(id); !known || e.incarnation == report.Incarnation {
			return
		}
	}
	if c, ok := t.update(now, id, report); ok && t.OnChange != nil {
		t.OnChange(c)
	}
}

// update applies a load report and reports whether there is a change.
func (t *Tracker) update(now yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entry(id)
	next := old
	if report.Incarnation != "" && report.Incarnation != old.incarnation {
		next = entry{incarnation: report.Incarnation}
	}
	wasHeld := now < next.end
	next.end = max(next.end, now+max(0, report.HoldMs))
	if report.MalformedHold != "" {
		next.malformed = report.MalformedHold
	}
	switch {
	case next.end <= now && next.malformed == "":
		t.remove(id)
	case !known:
		t.count.Add(1)
		fallthrough
	default:
		t.entries.Store(id, &next)
	}
	switch {
	case report.MalformedHold != "":
		return Change{Searcher: id, Malformed: report.MalformedHold}, old.malformed != report.MalformedHold
	default:
		return Change{Searcher: id, HoldMs: next.end - now}, !wasHeld && next.end > now
	}
}

// HeldFor returns for how much longer this host may send nothing to a searcher; zero means that it may.
func (t *Tracker) HeldFor(now yuccahinge.Millis, id yuccahinge.SearcherID) yuccahinge.Millis {
	if t == nil {
		return 0
	}
	e, _ := t.entry(id)
	return max(0, e.end-now)
}

// Len returns the number of searchers that are held, or were until the last Prune. It is cheap, to tell that there are none.
func (t *Tracker) Len() int {
	if t == nil {
		return 0
	}
	return int(t.count.Load())
}

// Prune removes the holds that have ended and those of searchers that have not been listed for forgetMs.
func (t *Tracker) Prune(now yuccahinge.Millis, isListed func(yuccahinge.SearcherID) bool) {
	if t.Len() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	unlisted := make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	t.entries.Range(func(key, v any) bool {
		id, e := key.(yuccahinge.SearcherID), v.(*entry)
		if isListed(id) {
			if e.end <= now && e.malformed == "" {
				t.remove(id)
			}
			return true
		}
		since, known := t.unlisted[id]
		switch {
		case e.end <= now, known && now >= since+forgetMs:
			t.remove(id)
		case known:
			unlisted[id] = since
		default:
			unlisted[id] = now
		}
		return true
	})
	t.unlisted = unlisted
}

// entry returns the entry of a searcher, or a zero entry and false if there is none.
func (t *Tracker) entry(id yuccahinge.SearcherID) (entry, bool) {
	if t.count.Load() == 0 {
		return entry{}, false
	}
	v, ok := t.entries.Load(id)
	if !ok {
		return entry{}, false
	}
	return *v.(*entry), true
}

// remove removes the entry of a searcher, if there is one. The caller holds the lock.
func (t *Tracker) remove(id yuccahinge.SearcherID) {
	if _, ok := t.entries.LoadAndDelete(id); ok {
		t.count.Add(-1)
	}
}
