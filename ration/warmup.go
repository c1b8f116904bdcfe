package ration

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// sendTolerance is the part of a token that may be missing when a call is sent: calls take different times from their choice
	// to there.
	sendTolerance = 0.25
	// arrivalSpread is the time, in seconds, in which calls that arrive in one second were sent.
	arrivalSpread = 1.125
)

// warmupLimit is the limit on this host's calls to one cold searcher.
type warmupLimit struct {
	begunAt yuccahinge.Millis
	until   yuccahinge.Millis
	basis   partBasis
	// chosen counts the calls when they are decided on, and sent when they are sent. Calls that waited for a connection would
	// otherwise be sent together.
	chosen, sent tokens
}

// warmupDivision returns how a warm-up rate is divided. In any second the n holders let through at most their buckets, most in sum, n
// times sendTolerance, and what they earn in arrivalSpread. All this stays within WarmupOvershoot times the rate and WarmupSlack.
func (l *Limiter) warmupDivision(rate yuccahinge.RequestRate) division {
	bound := l.WarmupOvershoot*float64(rate) + l.WarmupSlack
	perSecond := min(float64(rate), (bound-1-sendTolerance)/arrivalSpread)
	if perSecond <= 0 {
		return division{}
	}
	return division{most: max(1, math.Floor((bound-arrivalSpread*perSecond)/(1+sendTolerance))), perSecond: perSecond}
}

// warmupPart returns this host's part of a warm-up rate. A host that may not know the others has none: hosts that start together would
// send too much.
func (l *Limiter) warmupPart(now yuccahinge.Millis, kind searcherKind, rate yuccahinge.RequestRate) part {
	d := l.warmupDivision(rate)
	if d.perSecond == 0 || !l.warmupHosts.settled(now) || l.HasSeeds && len(l.warmupHosts.known) == 1 {
		return part{}
	}
	return l.warmupHosts.divide(l.Self, kind, d)
}

// isLimited reports whether a searcher may have a limit.
func (l *Limiter) isLimited(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	return l.Named() > 0 || l.isCold(now, id)
}

// isCold reports whether a searcher is cold.
func (l *Limiter) isCold(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if l.coldSearchers() == 0 {
		return false
	}
	_, ok := l.Warmups.Warmup(now, id)
	return ok
}

// coldSearchers returns the number of searchers that may be cold.
func (l *Limiter) coldSearchers() int {
	if l.Warmups == nil || l.WarmupRate == nil {
		return 0
	}
	return l.Warmups.Cold()
}

// warmup returns the limit of a searcher with the tokens earned until now, or nil if it is not cold or its service has no warm-up
// rate. The caller holds the lock.
func (l *Limiter) warmup(now yuccahinge.Millis, id yuccahinge.SearcherID) *warmupLimit {
	if l.coldSearchers() == 0 {
		return nil
	}
	w, ok := l.Warmups.Warmup(now, id)
	if !ok {
		return nil
	}
	rate := l.WarmupRate(w.Service)
	if !(rate > 0) {
		return nil
	}
	e := l.warmups[id]
	if e == nil {
		e = &warmupLimit{begunAt: now, chosen: tokens{refilledAt: now}, sent: tokens{refilledAt: now}}
		if l.warmups == nil {
			l.warmups = make(map[yuccahinge.SearcherID]*warmupLimit)
		}
		l.warmups[id] = e
	}
	e.until = w.Until
	e.chosen.refill(now)
	e.sent.refill(now)
	kind := searcherKind{w.Domain, l.IsShard != nil && l.IsShard(w.Service)}
	if basis := (partBasis{l.warmupHosts.version, l.warmupHosts.settled(now), kind, rate}); e.basis != basis {
		e.basis = basis
		p := l.warmupPart(now, kind, rate)
		e.chosen.setPart(p)
		e.sent.setPart(p)
	}
	return e
}

// roomIn returns the delay until this host may decide on a call that can be sent at once. It is at most the rest of the warm-up.
func (e *warmupLimit) roomIn(now yuccahinge.Millis) yuccahinge.Millis {
	missing := max(1-e.chosen.tokens, 1-sendTolerance-e.sent.tokens)
	left := max(0, e.until-now)
	switch {
	case missing <= roundingError:
		return 0
	case e.chosen.part.perSecond == 0:
		return left
	default:
		return min(left, yuccahinge.Millis(missing/e.chosen.part.perSecond)*yuccahinge.Second)
	}
}

// MaySend reports whether a call that was started may be sent to a searcher now, and counts it if so. It is false for a call that would
// exceed this host's part of the searcher's warm-up rate: one that has waited, or was started before the searcher was known to be cold.
func (l *Limiter) MaySend(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	if !l.isCold(now, id) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.warmup(now, id)
	if e == nil {
		return true
	}
	if e.sent.tokens < 1-sendTolerance {
		return false
	}
	e.sent.tokens--
	return true
}

// pruneWarmups drops the limits of searchers that are no longer cold. The caller holds the lock.
func (l *Limiter) pruneWarmups(now yuccahinge.Millis) {
	for id, e := range l.warmups {
		if now >= e.until {
			delete(l.warmups, id)
		}
	}
}
