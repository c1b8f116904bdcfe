// Package losses decides which host reports the loss of a searcher by a request whose parts other hosts run.
package losses

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// maxEntries bounds the requests that are tracked.
	maxEntries = 4096
	// sweepMs is the time between two searches for expired entries.
	sweepMs = 1 * yuccahinge.Second
)

// Ledger tracks the requests of this host whose parts other hosts run, until they were run to their end or expire. Of all hosts that
// have lost a searcher by one run of a request, it lets one report that. The zero value is ready to use. A Ledger is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	entries   map[yuccahinge.RequestID]*entry
	nextSweep yuccahinge.Millis
}

// entry is a request that no searcher is known to have run to its end.
type entry struct {
	expires yuccahinge.Millis
	ended   chan struct{} // closed at the end of the request's attempts
	claimed bool
}

// Open adds a request until it expires. It returns false if there is no room, or if a request with this id is tracked already.
func (l *Ledger) Open(now, expires yuccahinge.Millis, id yuccahinge.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.nextSweep {
		l.sweep(now)
	}
	if e := l.entries[id]; e != nil && e.expires > now || len(l.entries) >= maxEntries {
		return false
	}
	if l.entries == nil {
		l.entries = make(map[yuccahinge.RequestID]*entry)
	}
	l.entries[id] = &entry{expires: expires, ended: make(chan struct{})}
	return true
}

// Complete removes a request that a searcher has run to its end.
func (l *Ledger) Complete(id yuccahinge.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		e.end()
		delete(l.entries, id)
	}
}

// End records that all attempts of a request have ended here, and that none ran it to its end.
func (l *Ledger) End(id yuccahinge.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		e.end()
	}
}

// Ended returns a channel that is closed once the attempts of a request have ended here, or false if the request is not tracked.
func (l *Ledger) Ended(now yuccahinge.Millis, id yuccahinge.RequestID) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.expires > now {
		return e.ended, true
	}
	return nil, false
}

// Claim reports whether the caller is the first to report a loss by a request, or that the request is not tracked.
func (l *Ledger) Claim(now yuccahinge.Millis, id yuccahinge.RequestID) (first, tracked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.expires <= now {
		return false, false
	}
	first = !e.claimed
	e.claimed = true
	return first, true
}

// end closes ended unless it is closed. The caller holds the lock.
func (e *entry) end() {
	select {
	case <-e.ended:
	default:
		close(e.ended)
	}
}

// sweep drops the expired entries. The caller holds the lock.
func (l *Ledger) sweep(now yuccahinge.Millis) {
	l.nextSweep = now + sweepMs
	for id, e := range l.entries {
		if e.expires <= now {
			e.end()
			delete(l.entries, id)
		}
	}
}
