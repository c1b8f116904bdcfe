// Package ration tracks the maximum request rates that searchers name in their responses.
package ration

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// holdMs is how long a maximum rate stays in force after the last response that names it, even if others don't.
const holdMs = 1 * yuccahinge.Second

// Limiter keeps the maximum rate of each searcher that names one. It implements yuccahinge.RateLimiter. The zero value is
// ready to use and safe for concurrent use.
type Limiter struct {
	// OnChange, if set, is called with each change of a maximum rate.
	OnChange func(Change)

	limited atomic.Int64 // the number of searchers with a maximum rate
	mu      sync.Mutex
	limits  map[yuccahinge.SearcherID]*limit
}

// limit is the maximum rate of one searcher.
type limit struct {
	rate *yuccahinge.RequestRate // nil once the searcher has stopped naming one
	// changedAt is the instant of the last change of rate, confirmedAt that of the last response that named it.
	changedAt, confirmedAt yuccahinge.Millis
	// malformed is the last text that could not be decoded.
	malformed string
	// calls counts the calls of this host by cause since the rate was first named.
	calls map[string]int
}

// Change is a change of a searcher's maximum rate.
type Change struct {
	Searcher yuccahinge.SearcherID
	// MaxRate is nil if the searcher has no maximum rate any more.
	MaxRate *yuccahinge.RequestRate
	// Malformed is the text of a maximum rate that can't be decoded; the previous rate stays in force.
	Malformed string
	// Calls counts the calls of this host by cause while a maximum rate was in force, if it has ended.
	Calls map[string]int
}

var _ yuccahinge.RateLimiter = (*Limiter)(nil)

// Limited returns the number of searchers with a maximum rate.
func (l *Limiter) Limited() int { return int(l.limited.Load()) }

// CountCall counts a call to a searcher under its cause, and reports whether the searcher has a maximum rate.
func (l *Limiter) CountCall(id yuccahinge.SearcherID, cause string) bool {
	if l.limited.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.limits[id]
	if e == nil || e.rate == nil {
		return false
	}
	e.calls[cause]++
	return true
}

// Observe implements yuccahinge.RateLimiter.
func (l *Limiter) Observe(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if report.MaxRate == nil && report.MalformedMaxRate == "" && l.limited.Load() == 0 {
		return
	}
	if change := l.update(now, sentAt, id, report); change != nil && l.OnChange != nil {
		l.OnChange(*change)
	}
}

// update applies a load report and returns the change, or nil for none.
func (l *Limiter) update(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) *Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.limits[id]
	switch {
	case report.MalformedMaxRate != "":
		return l.entry(id).setMalformed(id, report.MalformedMaxRate)
	case report.MaxRate != nil:
		return l.name(now, sentAt, id, *report.MaxRate)
	case e == nil || e.rate == nil || sentAt < e.confirmedAt || now < e.confirmedAt+holdMs:
		return nil
	}
	e.rate = nil
	e.changedAt = now
	l.limited.Add(-1)
	return &Change{Searcher: id, Calls: e.calls}
}

// entry returns the entry of a searcher, creating it if needed.
func (l *Limiter) entry(id yuccahinge.SearcherID) *limit {
	e := l.limits[id]
	if e == nil {
		e = &limit{}
		if l.limits == nil {
			l.limits = make(map[yuccahinge.SearcherID]*limit)
		}
		l.limits[id] = e
	}
	return e
}

// setMalformed returns a change for a text that differs from the last one that could not be decoded.
func (e *limit) setMalformed(id yuccahinge.SearcherID, text string) *Change {
	if e.malformed == text {
		return nil
	}
	e.malformed = text
	return &Change{Searcher: id, Malformed: text}
}

// name records a maximum rate that a response named. A response to a request from before the last change is older than
// that change.
func (l *Limiter) name(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, rate yuccahinge.RequestRate) *Change {
	e := l.entry(id)
	if e.changedAt > 0 && sentAt < e.changedAt && (e.rate == nil || *e.rate != rate) {
		return nil
	}
	e.confirmedAt = now
	if e.rate != nil && *e.rate == rate {
		return nil
	}
	if e.rate == nil {
		l.limited.Add(1)
		e.calls = make(map[string]int)
	}
	e.rate = &rate
	e.changedAt = now
	return &Change{Searcher: id, MaxRate: &rate}
}
