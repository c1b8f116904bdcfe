// Package depart tracks which searchers are draining.
package depart

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// maxMarks is the largest number of draining incarnations that are kept for one searcher.
	maxMarks = 8
	// forgetMs is how long the marks of a searcher are kept after it was last listed. A searcher may be listed again after
	// an outage of the platform.
	forgetMs = 600 * yuccahinge.Second
)

// Tracker tracks draining searchers, by their own reports and by notices from other hosts. A draining mark applies to one
// incarnation of a searcher. Incarnations have no order, and reports of older ones may arrive late. So a mark is removed
// only by a reply of another incarnation to a call that was sent after the mark was made, and by Prune. The zero value is
// ready to use. It is safe for concurrent use, and readers take no lock.
type Tracker struct {
	mu       sync.Mutex // serializes writes to marks
	marks    sync.Map   // of yuccahinge.SearcherID to []mark, immutable once stored
	marked   atomic.Int64
	unlisted map[yuccahinge.SearcherID]yuccahinge.Millis // when a marked searcher was first seen not to be listed
}

// mark records that an incarnation is known to be draining since the instant at. An empty incarnation is the one that
// ran at that instant; it is filled in from the next reply to a call sent after it.
type mark struct {
	incarnation yuccahinge.Incarnation
	at          yuccahinge.Millis
}

// MarkDraining records that an incarnation of the searcher is draining and reports whether that was unknown. An empty
// incarnation means the current one.
func (t *Tracker) MarkDraining(now yuccahinge.Millis, id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) bool {
	if isMarked(t.marksOf(id), incarnation) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.marksOf(id)
	if isMarked(old, incarnation) {
		return false
	}
	next := append(slices.Clone(old), mark{incarnation, now})
	if len(old) == 0 {
		t.marked.Add(1)
	}
	t.marks.Store(id, next[max(0, len(next)-maxMarks):])
	return true
}

// RecordReport records a searcher's load report, in the reply to a call sent at the instant sent. It reports whether the
// searcher is draining and that was unknown.
func (t *Tracker) RecordReport(now, sent yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) bool {
	if report.Draining {
		return t.MarkDraining(now, id, report.Incarnation)
	}
	if report.Incarnation == "" || len(t.marksOf(id)) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []mark
	for _, m := range t.marksOf(id) {
		if m.at < sent && m.incarnation == "" {
			m.incarnation = report.Incarnation
		}
		if m.at >= sent || m.incarnation == report.Incarnation {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		t.remove(id)
		return false
	}
	t.marks.Store(id, kept)
	return false
}

// Prune removes the marks of searchers that have not been listed for forgetMs.
func (t *Tracker) Prune(now yuccahinge.Millis, isListed func(yuccahinge.SearcherID) bool) {
	if t.marked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	unlisted := make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	t.marks.Range(func(key, _ any) bool {
		id := key.(yuccahinge.SearcherID)
		if isListed(id) {
			return true
		}
		since, known := t.unlisted[id]
		switch {
		case !known:
			unlisted[id] = now
		case now >= since+forgetMs:
			t.remove(id)
		default:
			unlisted[id] = since
		}
		return true
	})
	t.unlisted = unlisted
}

// remove removes the marks of a searcher that has some. The caller holds the lock.
func (t *Tracker) remove(id yuccahinge.SearcherID) {
	if _, ok := t.marks.LoadAndDelete(id); ok {
		t.marked.Add(-1)
	}
}

// Draining returns the number of searchers that are draining.
func (t *Tracker) Draining() int { return int(t.marked.Load()) }

// IsDraining reports whether the searcher is draining and must get no new calls.
func (t *Tracker) IsDraining(id yuccahinge.SearcherID) bool { return t.marksOf(id) != nil }

// Since returns when the searcher was first known to be draining, or false if it is not.
func (t *Tracker) Since(id yuccahinge.SearcherID) (yuccahinge.Millis, bool) {
	marks := t.marksOf(id)
	if len(marks) == 0 {
		return 0, false
	}
	return marks[0].at, true
}

func (t *Tracker) marksOf(id yuccahinge.SearcherID) []mark {
	if t.marked.Load() == 0 {
		return nil
	}
	v, ok := t.marks.Load(id)
	if !ok {
		return nil
	}
	return v.([]mark)
}

func isMarked(marks []mark, incarnation yuccahinge.Incarnation) bool {
	return slices.ContainsFunc(marks, func(m mark) bool { return m.incarnation == incarnation || incarnation == "" })
}
