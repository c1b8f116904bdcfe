// Package ration keeps the calls to each searcher within the maximum request rate that the searcher names for all entry
// hosts together, and the calls to a cold searcher within the warm-up rate of its service. No host knows what the others send: all
// hosts divide the rate by the same rule, and each keeps to its own part.
package ration

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// The patience with responses that leave a maximum rate out doubles, up to maxPatience, each time that a rate begins
	// less than flapMs after the last one has ended.
	maxPatience = 8
	flapMs      = 30 * yuccahinge.Second
	// renewMs is the age of the last announcement of a maximum rate from which it is announced again.
	renewMs = 20 * yuccahinge.Second
	// forgetMs is the time without a confirmation after which a maximum rate is dropped, for searchers that no host
	// calls any more.
	forgetMs = 60 * yuccahinge.Second
	// announceRatio is the relative change of a maximum rate from which it is announced again.
	announceRatio = 0.1
)

// Limiter keeps this host's part of the maximum rate of each searcher that names one. It implements
// yuccahinge.RateLimiter. Set the fields before the first use, and call SetHosts regularly: without hosts, this host has
// no part. It is safe for concurrent use.
type Limiter struct {
	Self yuccahinge.HostID
	// IsShard reports whether a service is a shard of an index: strong hosts then hold larger parts, since they call
	// its searchers for the others. Nil means that none is.
	IsShard func(yuccahinge.ServiceName) bool
	// Stamp returns the timestamp of an announcement; nil disables announcements.
	Stamp func() yuccahinge.Timestamp
	// OnChange, if set, is called with each change and announcement.
	OnChange func(Change)

	// Warmups tells which searchers are cold, and WarmupRate the warm-up rate of a service, zero for none. If either is nil, cold
	// searchers have no limit.
	Warmups    yuccahinge.WarmupTracker
	WarmupRate func(yuccahinge.ServiceName) yuccahinge.RequestRate
	// In any second a cold searcher gets at most WarmupOvershoot times the warm-up rate and WarmupSlack requests from all hosts.
	WarmupOvershoot, WarmupSlack float64
	// HasSeeds reports whether the settings name other hosts. If they do, this host has no part of a warm-up rate until it knows one.
	HasSeeds bool

	limited atomic.Int64 // the number of searchers with a maximum rate
	mu      sync.Mutex
	limits  map[yuccahinge.SearcherID]*limit
	hosts   hostSet

	warmups     map[yuccahinge.SearcherID]*warmupLimit
	warmupHosts hostSet
}

// Change is a change of what this host knows about a searcher's maximum rate.
type Change struct {
	Searcher yuccahinge.SearcherID
	// MaxRate is nil if the searcher has no maximum rate any more.
	MaxRate *yuccahinge.RequestRate
	// Malformed is the text of a maximum rate that can't be decoded; the previous rate stays in force.
	Malformed string
	// Calls counts the calls of this host by cause while a maximum rate was in force, if it has ended.
	Calls map[string]int
	// Heard reports whether another host announced the change.
	Heard bool
	// Minor reports whether the rate has changed little or not at all since it was last announced.
	Minor bool
	// Announcement is the notice for the other hosts; nil if they know already.
	Announcement *yuccahinge.Notice
}

var _ yuccahinge.RateLimiter = (*Limiter)(nil)

// Limited implements yuccahinge.RateLimiter.
func (l *Limiter) Limited() int { return l.Named() + l.coldSearchers() }

// Named returns the number of searchers that name a maximum rate.
func (l *Limiter) Named() int { return int(l.limited.Load()) }

// SetHosts sets the entry hosts that divide the rates among themselves, and drops the rates that were not confirmed for a
// while.
func (l *Limiter) SetHosts(now yuccahinge.Millis, hosts []Host) {
	l.mu.Lock()
	l.hosts.set(now, hosts)
	if l.Warmups != nil {
		l.warmupHosts.keepMs = keepWarmupHostMs
		l.warmupHosts.set(now, hosts)
		l.pruneWarmups(now)
	}
	var changes []Change
	for id, e := range l.limits {
		unconfirmed := now - max(e.confirmedAt, e.changedAt, e.announcedAt, e.malformedAt)
		switch {
		case e.rate != nil && (unconfirmed >= forgetMs || e.endAnnouncedAt > 0 && now >= e.namedAt+e.holdMs()):
			changes = append(changes, l.end(now, id, e))
		case e.rate == nil && unconfirmed >= forgetMs:
			delete(l.limits, id)
		}
	}
	l.mu.Unlock()
	l.report(changes...)
}

// RoomIn implements yuccahinge.RateLimiter. For a host without a part it returns the mean time between two calls of all
// hosts, and the rest of the warm-up if the searcher is cold.
func (l *Limiter) RoomIn(now yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher, service yuccahinge.ServiceName) yuccahinge.Millis {
	if !l.isLimited(now, id) {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait yuccahinge.Millis
	if e := l.warmup(now, id); e != nil {
		wait = e.roomIn(now)
	}
	e := l.limits[id]
	if e == nil || e.rate == nil {
		return wait
	}
	e.kind = searcherKind{s.Domain, l.IsShard != nil && l.IsShard(service)}
	l.refill(now, e)
	return max(wait, e.bucket.roomIn(*e.rate))
}

// Started implements yuccahinge.RateLimiter.
func (l *Limiter) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) {
	if !l.isLimited(now, id) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.warmup(now, id); e != nil {
		e.chosen.tokens--
	}
	if e := l.limits[id]; e != nil && e.rate != nil {
		l.refill(now, e)
		e.bucket.tokens--
	}
}

// Unsent implements yuccahinge.RateLimiter.
func (l *Limiter) Unsent(now, startedAt yuccahinge.Millis, id yuccahinge.SearcherID) {
	if !l.isLimited(now, id) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.warmup(now, id); e != nil && startedAt >= e.begunAt {
		e.chosen.tokens = min(e.chosen.tokens+1, e.chosen.part.burst)
	}
	if e := l.limits[id]; e != nil && e.rate != nil && startedAt >= e.limitedSince {
		l.refill(now, e)
		e.bucket.tokens = min(e.bucket.tokens+1, e.bucket.part.burst)
	}
}

// refill updates this host's part of the rate and adds the tokens earned since the last call.
func (l *Limiter) refill(now yuccahinge.Millis, e *limit) {
	e.bucket.refill(now)
	basis := partBasis{l.hosts.version, l.hosts.settled(now), e.kind, *e.rate}
	if e.basis != basis {
		e.basis = basis
		e.bucket.setPart(l.hosts.part(now, l.Self, e.kind, *e.rate))
	}
}

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

// report calls OnChange without holding the lock.
func (l *Limiter) report(changes ...Change) {
	if l.OnChange == nil {
		return
	}
	for _, c := range changes {
		l.OnChange(c)
	}
}
