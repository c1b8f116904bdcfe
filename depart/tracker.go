// Package depart tracks which searchers are draining.
package depart

import (
	"slices"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// maxMarks is the largest number of draining incarnations that are kept for one searcher.
const maxMarks = 8

// Tracker tracks draining searchers, by their own reports and by notices from other hosts. A draining mark applies to one
// incarnation of a searcher. Incarnations have no order, and reports of older ones may arrive late. So a mark is removed
// only by a reply of another incarnation to a call that was sent after the mark was made. The zero value is ready to use.
type Tracker struct {
	mu    sync.Mutex // serializes writes to marks
	marks sync.Map   // of yuccahinge.SearcherID to []mark, immutable once stored
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
		t.marks.Delete(id)
		return false
	}
	t.marks.Store(id, kept)
	return false
}

// IsDraining reports whether the searcher is draining and must get no new calls.
func (t *Tracker) IsDraining(id yuccahinge.SearcherID) bool { return t.marksOf(id) != nil }

func (t *Tracker) marksOf(id yuccahinge.SearcherID) []mark {
	v, ok := t.marks.Load(id)
	if !ok {
		return nil
	}
	return v.([]mark)
}

func isMarked(marks []mark, incarnation yuccahinge.Incarnation) bool {
	return slices.ContainsFunc(marks, func(m mark) bool { return m.incarnation == incarnation || incarnation == "" })
}
