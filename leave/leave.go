// Package leave provides the memory of which searchers are leaving.
package leave

import (
	"slices"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// maxMarks bounds the lives of one searcher that are remembered as leaving.
const maxMarks = 8

// Leave remembers the searchers that said, or of which it was said, that they are draining. A mark is of one
// life of the searcher. Word of a life may arrive late, after that of the lives that followed, and lives
// have no order of their own; so a mark goes only when the searcher was asked after the mark was made and
// replied as another life. The zero value is ready to use.
type Leave struct {
	mu    sync.Mutex // held by changes only
	marks sync.Map   // of yuccahinge.SearcherID to []mark, immutable once stored
}

// mark says that a life was known to be leaving since an instant. An empty life stands for the one of that instant,
// and takes its name from the next reply to a later call.
type mark struct {
	life yuccahinge.Incarnation
	at   yuccahinge.Millis
}

// Mark notes that a life of the searcher is leaving and reports whether that was news. An empty
// incarnation stands for the present life, whichever it is.
func (l *Leave) Mark(now yuccahinge.Millis, id yuccahinge.SearcherID, life yuccahinge.Incarnation) bool {
	if known(l.of(id), life) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.of(id)
	if known(old, life) {
		return false
	}
	next := append(slices.Clone(old), mark{life, now})
	l.marks.Store(id, next[max(0, len(next)-maxMarks):])
	return true
}

// See takes a searcher's own word, in reply to a call sent at the instant asked, and reports whether it is
// news that it is leaving.
func (l *Leave) See(now, asked yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) bool {
	if report.Draining {
		return l.Mark(now, id, report.Incarnation)
	}
	if report.Incarnation == "" || len(l.of(id)) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var rest []mark
	for _, m := range l.of(id) {
		if m.at < asked && m.life == "" {
			m.life = report.Incarnation
		}
		if m.at >= asked || m.life == report.Incarnation {
			rest = append(rest, m)
		}
	}
	if len(rest) == 0 {
		l.marks.Delete(id)
		return false
	}
	l.marks.Store(id, rest)
	return false
}

// Leaving reports whether the searcher must get no new work.
func (l *Leave) Leaving(id yuccahinge.SearcherID) bool { return l.of(id) != nil }

func (l *Leave) of(id yuccahinge.SearcherID) []mark {
	v, ok := l.marks.Load(id)
	if !ok {
		return nil
	}
	return v.([]mark)
}

func known(marks []mark, life yuccahinge.Incarnation) bool {
	return slices.ContainsFunc(marks, func(m mark) bool { return m.life == life || life == "" })
}
