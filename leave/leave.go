// Package leave provides the memory of which searchers are leaving.
package leave

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Leave remembers the searchers that said, or of which it was said, that they are draining. The mark holds
// for one life of the searcher: only a reply from a later life removes it. The zero value is ready to use.
type Leave struct {
	marks sync.Map // of yuccahinge.SearcherID to yuccahinge.Incarnation
}

// Mark notes that a life of the searcher is leaving and reports whether that was news. An empty
// incarnation stands for the present life, whichever it is.
func (l *Leave) Mark(id yuccahinge.SearcherID, life yuccahinge.Incarnation) bool {
	old, loaded := l.marks.LoadOrStore(id, life)
	if !loaded {
		return true
	}
	if life == "" || old.(yuccahinge.Incarnation) == life {
		return false
	}
	return l.marks.CompareAndSwap(id, old, life)
}

// See takes a searcher's own word and reports whether it is news that it is leaving.
func (l *Leave) See(id yuccahinge.SearcherID, report *yuccahinge.LoadReport) bool {
	if report.Draining {
		return l.Mark(id, report.Incarnation)
	}
	old, ok := l.marks.Load(id)
	if !ok || report.Incarnation == "" || old.(yuccahinge.Incarnation) == report.Incarnation {
		return false
	}
	if old.(yuccahinge.Incarnation) == "" {
		l.marks.CompareAndSwap(id, old, report.Incarnation)
		return false
	}
	l.marks.CompareAndDelete(id, old)
	return false
}

// Leaving reports whether the searcher must get no new work.
func (l *Leave) Leaving(id yuccahinge.SearcherID) bool {
	_, ok := l.marks.Load(id)
	return ok
}
