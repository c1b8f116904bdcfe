package ration

import (
	"fmt"
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// limit is the maximum rate of one searcher.
type limit struct {
	rate *yuccahinge.RequestRate // nil once the searcher has stopped naming one
	// limitedSince is the instant at which the searcher got a maximum rate, changedAt that of the last change of the rate,
	// confirmedAt that of the last response or announcement with a rate, and namedAt that of the last response with one.
	limitedSince, changedAt, confirmedAt, namedAt yuccahinge.Millis
	// announced is the rate of the newest announcement, by this host or another one; nil if that one ended the rate.
	announced   *yuccahinge.RequestRate
	announcedAt yuccahinge.Millis
	stamp       yuccahinge.Timestamp
	// patience is the number of responses in a row without a rate, and the number of seconds since the last one with it,
	// from which the rate ends. omitted counts the responses.
	patience, omitted int
	// endAnnouncedAt is the instant at which another host announced the end of a rate that a response has named recently;
	// zero if none has.
	endAnnouncedAt yuccahinge.Millis
	// malformed is the last text that could not be decoded.
	malformed   string
	malformedAt yuccahinge.Millis
	// calls counts the calls of this host by cause since the searcher has had a maximum rate.
	calls map[string]int
	// kind is the zero value until the searcher is first a candidate for a call.
	kind   searcherKind
	basis  partBasis
	bucket tokens
}

// partBasis is what this host's part of a rate was calculated from.
type partBasis struct {
	hostsVersion int
	settled      bool
	kind         searcherKind
	rate         yuccahinge.RequestRate
}

// Observe implements yuccahinge.RateLimiter.
func (l *Limiter) Observe(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if report.MaxRate == nil && report.MalformedMaxRate == "" && l.limited.Load() == 0 {
		return
	}
	if change, ok := l.update(now, sentAt, id, report); ok {
		l.report(change)
	}
}

// update applies the load report of a response and reports whether there is a change.
func (l *Limiter) update(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) (Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case report.MalformedMaxRate != "":
		return l.entry(id).setMalformed(now, id, report.MalformedMaxRate)
	case report.MaxRate != nil && *report.MaxRate < 0:
		return l.entry(id).setMalformed(now, id, fmt.Sprint(*report.MaxRate))
	case report.MaxRate != nil:
		return l.handleNamed(now, sentAt, id, *report.MaxRate)
	default:
		return l.handleOmitted(now, sentAt, id)
	}
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
func (e *limit) setMalformed(now yuccahinge.Millis, id yuccahinge.SearcherID, text string) (Change, bool) {
	e.malformedAt = now
	if e.malformed == text {
		return Change{}, false
	}
	e.malformed = text
	return Change{Searcher: id, Malformed: text}, true
}

// handleNamed applies a rate that a response named. A response to a request from before the last change, or before another
// host announced the end, may be older than that.
func (l *Limiter) handleNamed(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID, rate yuccahinge.RequestRate) (Change, bool) {
	e := l.entry(id)
	changed := e.rate == nil || *e.rate != rate
	if changed && e.changedAt > 0 && sentAt < e.changedAt || sentAt < e.endAnnouncedAt {
		return Change{}, false
	}
	e.confirmedAt, e.namedAt = now, now
	e.endAnnouncedAt = 0
	e.omitted = 0
	if changed {
		l.setRate(now, e, rate)
	}
	c := Change{Searcher: id, MaxRate: e.rate, Minor: !e.differs()}
	if c.Minor && now < e.announcedAt+renewMs {
		return c, false
	}
	c.Announcement = l.announce(now, id, e)
	return c, true
}

// handleOmitted applies a response without a rate, unless its request was sent before the last confirmation of the rate.
func (l *Limiter) handleOmitted(now, sentAt yuccahinge.Millis, id yuccahinge.SearcherID) (Change, bool) {
	e := l.limits[id]
	if e == nil || e.rate == nil || sentAt < e.confirmedAt {
		return Change{}, false
	}
	if e.omitted++; e.omitted < e.patience || now < e.confirmedAt+e.holdMs() {
		return Change{}, false
	}
	c := l.end(now, id, e)
	if e.announced != nil {
		c.Announcement = l.announce(now, id, e)
	}
	return c, true
}

// Learn applies the announcement of another host. A rate that a response has named recently stays in force.
func (l *Limiter) Learn(now yuccahinge.Millis, n *yuccahinge.Notice) {
	id := yuccahinge.SearcherID(n.Key)
	l.mu.Lock()
	e := l.entry(id)
	if !e.stamp.Before(n.Stamp) {
		l.mu.Unlock()
		return
	}
	e.stamp, e.announced, e.announcedAt = n.Stamp, n.MaxRate, now
	named := e.rate != nil && now < e.namedAt+e.holdMs()
	var changes []Change
	switch {
	case n.MaxRate == nil && e.rate != nil && named:
		e.endAnnouncedAt = now
	case n.MaxRate == nil && e.rate != nil:
		c := l.end(now, id, e)
		c.Heard = true
		changes = append(changes, c)
	case n.MaxRate != nil:
		e.confirmedAt = now
		if !named && (e.rate == nil || *e.rate != *n.MaxRate) {
			l.setRate(now, e, *n.MaxRate)
			changes = append(changes, Change{Searcher: id, MaxRate: e.rate, Heard: true})
		}
	}
	l.mu.Unlock()
	l.report(changes...)
}

// setRate sets the maximum rate of a searcher.
func (l *Limiter) setRate(now yuccahinge.Millis, e *limit, rate yuccahinge.RequestRate) {
	if e.rate == nil {
		l.limited.Add(1)
		e.calls = make(map[string]int)
		e.limitedSince = now
		e.updatePatience(now)
		e.bucket, e.basis = tokens{refilledAt: now}, partBasis{}
	}
	e.rate = &rate
	e.changedAt = now
}

// end removes the maximum rate of a searcher.
func (l *Limiter) end(now yuccahinge.Millis, id yuccahinge.SearcherID, e *limit) Change {
	l.limited.Add(-1)
	e.rate = nil
	e.changedAt = now
	e.endAnnouncedAt = 0
	return Change{Searcher: id, Calls: e.calls}
}

// updatePatience sets the patience for a rate that begins: more if the last one has just ended, because some responses of
// the searcher then name a rate and others don't.
func (e *limit) updatePatience(now yuccahinge.Millis) {
	e.omitted = 0
	if e.changedAt > 0 && now < e.changedAt+flapMs {
		e.patience = min(2*e.patience, maxPatience)
		return
	}
	e.patience = 1
}

// holdMs returns how long the rate stays in force after the last response that names it.
func (e *limit) holdMs() yuccahinge.Millis { return yuccahinge.Millis(e.patience) * yuccahinge.Second }

// differs reports whether the rate differs much from the one that was last announced.
func (e *limit) differs() bool {
	return e.announced == nil || math.Abs(float64(*e.rate-*e.announced)) > announceRatio*float64(*e.announced)
}

// announce returns an announcement of the rate in force, or of its end.
func (l *Limiter) announce(now yuccahinge.Millis, id yuccahinge.SearcherID, e *limit) *yuccahinge.Notice {
	e.announced, e.announcedAt = e.rate, now
	if l.Stamp == nil {
		return nil
	}
	e.stamp = l.Stamp()
	return &yuccahinge.Notice{Kind: yuccahinge.NoticeMaxRate, Key: string(id), MaxRate: e.rate, Stamp: e.stamp, TTLMs: forgetMs}
}
