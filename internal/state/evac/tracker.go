// Package evac decides which failure domains are evacuated.
package evac

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/census"
)

const (
	// lostMs is how long an evacuation stays in force that the platform has lost with an older copy. Operators are promised 15 s
	// at the most; the rest is for the interval between two calls of Expire.
	lostMs = 14.5 * yuccahinge.Second
	// maxDomains bounds the failure domains that are taken over from another host.
	maxDomains = 1024
)

// Tracker tracks the evacuated failure domains: the exact set at the newest known position of the platform's store, and those that
// the store has lost because it came back from an older copy. The latter are what remains of the last known set of the earlier
// epoch without the keys that the store has in this epoch, or that were written in it. The zero value is ready to use. IsEvacuated and
// Domains may be called at any time and take no lock; the other methods must not be called concurrently.
type Tracker struct {
	isKnown  bool
	position yuccahinge.Position
	// isPartial is set from a list that could be read in part only to the next whole one. Meanwhile the position does not advance, because
	// another host that has the exact set would replace it by this one.
	isPartial bool
	// domains holds the exact set, with the revision of each key; zero if it is not known.
	domains map[yuccahinge.DomainID]yuccahinge.Revision

	// earlier is the position of the last known set of an earlier epoch. That set is in lostUntil, with the time until which each of
	// its domains is evacuated if the store has lost the evacuation.
	earlier    yuccahinge.Position
	hasEarlier bool
	lostUntil  map[yuccahinge.DomainID]yuccahinge.Millis
	// lostBefore holds the same for the domains whose evacuations the store had lost before that set.
	lostBefore map[yuccahinge.DomainID]yuccahinge.Millis
	// settled holds the domains whose keys were there or were written in the present epoch.
	settled map[yuccahinge.DomainID]bool
	// epochLostUntil is the end of all lost evacuations, counted from when this host learned of the epoch.
	epochLostUntil yuccahinge.Millis

	inForce atomic.Pointer[map[yuccahinge.DomainID]bool] // immutable; nil if it would be empty
}

// IsEvacuated reports whether nothing may be sent to the searchers of a failure domain.
func (t *Tracker) IsEvacuated(d yuccahinge.DomainID) bool {
	p := t.inForce.Load()
	return p != nil && (*p)[d]
}

// Domains returns the evacuated failure domains in order.
func (t *Tracker) Domains() []yuccahinge.DomainID {
	if p := t.inForce.Load(); p != nil {
		return slices.Sorted(maps.Keys(*p))
	}
	return nil
}

// Apply applies what was read from the platform and reports whether the evacuated domains changed. What is older than the known
// set is ignored.
func (t *Tracker) Apply(now yuccahinge.Millis, b *Batch) bool {
	switch {
	case t.isKnown && b.Epoch < t.position.Epoch:
		return false
	case !t.isKnown || b.Epoch > t.position.Epoch:
		t.beginEpoch(now, b.Epoch)
	case b.Snapshot && b.Revision < t.position.Revision:
		return false
	}
	from := t.position.Revision
	t.isPartial = (t.isPartial || b.IsPartial) && !b.Snapshot
	if b.Snapshot {
		// A page of the list may be newer than its position.
		t.replace(b.Revision, nil)
		from = 0
	}
	for i := range b.Changes {
		t.applyChange(&b.Changes[i], from)
	}
	if !t.isPartial {
		t.position.Revision = max(t.position.Revision, b.Revision)
	}
	return t.publish(now)
}

// applyChange applies a change unless its key has a later one or it is not after a revision.
func (t *Tracker) applyChange(c *Change, from yuccahinge.Revision) {
	if revision, ok := t.domains[c.Domain]; c.Revision <= from || ok && c.Revision < revision {
		return
	}
	t.settled[c.Domain] = true
	if c.Ended {
		delete(t.domains, c.Domain)
		return
	}
	t.domains[c.Domain] = c.Revision
}

// replace replaces the set by one at a revision of the same epoch. It keeps the domains whose keys are known to be newer.
func (t *Tracker) replace(at yuccahinge.Revision, domains []yuccahinge.DomainID) {
	maps.DeleteFunc(t.domains, func(_ yuccahinge.DomainID, revision yuccahinge.Revision) bool { return revision <= at })
	for _, d := range domains {
		t.domains[d] = max(t.domains[d], 0)
		t.settled[d] = true
	}
	t.position.Revision = at
}

// beginEpoch begins an epoch with an empty set, and keeps what is in force as the last known set of the earlier one.
func (t *Tracker) beginEpoch(now yuccahinge.Millis, epoch yuccahinge.Epoch) {
	t.epochLostUntil = now + lostMs
	if t.isKnown {
		t.hasEarlier = true
		t.earlier = t.position
		lostUntil, lostBefore := make(map[yuccahinge.DomainID]yuccahinge.Millis), make(map[yuccahinge.DomainID]yuccahinge.Millis)
		for d := range t.inForceAt(now) {
			if _, ok := t.domains[d]; ok {
				lostUntil[d] = t.epochLostUntil
			} else {
				lostBefore[d] = max(t.lostUntil[d], t.lostBefore[d])
			}
		}
		t.lostUntil, t.lostBefore = lostUntil, lostBefore
	}
	t.isKnown = true
	t.position = yuccahinge.Position{Epoch: epoch}
	t.domains = make(map[yuccahinge.DomainID]yuccahinge.Revision)
	t.settled = make(map[yuccahinge.DomainID]bool)
}

// Merge merges another host's set and reports whether the evacuated domains changed.
func (t *Tracker) Merge(now yuccahinge.Millis, e *yuccahinge.Evacuations) bool {
	if !isSound(e) {
		return false
	}
	if t.isKnown && e.Position.Epoch < t.position.Epoch {
		t.mergeEarlier(now, earlierOf(e))
		return t.publish(now)
	}
	isNew := !t.isKnown || e.Position.Epoch > t.position.Epoch
	if isNew {
		t.beginEpoch(now, e.Position.Epoch)
	}
	if isNew || t.position.Before(e.Position) {
		t.replace(e.Position.Revision, e.Domains)
	}
	if b := e.Earlier; b != nil && b.Position.Epoch < t.position.Epoch {
		t.mergeEarlier(now, b)
		for _, d := range b.Settled {
			t.settled[d] = true
		}
	}
	return t.publish(now)
}

// earlierOf returns what another host's set of an earlier epoch is at a host of this epoch.
func earlierOf(e *yuccahinge.Evacuations) *yuccahinge.EarlierEvacuations {
	out := &yuccahinge.EarlierEvacuations{
		Position: e.Position,
		LeftMs:   make(map[yuccahinge.DomainID]yuccahinge.Millis, len(e.Domains)),
		LostMs:   make(map[yuccahinge.DomainID]yuccahinge.Millis),
	}
	for _, d := range e.Domains {
		out.LeftMs[d] = lostMs
	}
	if e.Earlier == nil {
		return out
	}
	for _, lost := range []map[yuccahinge.DomainID]yuccahinge.Millis{e.Earlier.LeftMs, e.Earlier.LostMs} {
		for d, left := range lost {
			if left > 0 && !slices.Contains(e.Earlier.Settled, d) {
				out.LostMs[d] = left
			}
		}
	}
	return out
}

// mergeEarlier takes over a set of an earlier epoch if it is later than the known one. It takes over shorter times of the same set, and
// what the store had lost before, which a host that has started since does not know.
func (t *Tracker) mergeEarlier(now yuccahinge.Millis, e *yuccahinge.EarlierEvacuations) {
	if !t.hasEarlier || t.earlier.Before(e.Position) {
		t.hasEarlier = true
		t.earlier = e.Position
		t.lostUntil = make(map[yuccahinge.DomainID]yuccahinge.Millis, len(e.LeftMs))
	}
	if t.earlier == e.Position {
		t.shorten(now, t.lostUntil, e.LeftMs)
	}
	if t.lostBefore == nil {
		t.lostBefore = make(map[yuccahinge.DomainID]yuccahinge.Millis)
	}
	t.shorten(now, t.lostBefore, e.LostMs)
}

// shorten adds domains with the time that is left for them, or shortens their time.
func (t *Tracker) shorten(now yuccahinge.Millis, until, left map[yuccahinge.DomainID]yuccahinge.Millis) {
	for d, ms := range left {
		end, ok := until[d]
		if !ok {
			end = t.epochLostUntil
		}
		until[d] = min(end, now+ms)
	}
}

// isSound reports whether another host's set can be used.
func isSound(e *yuccahinge.Evacuations) bool {
	if e == nil || !areNames(e.Domains) {
		return false
	}
	if e.Earlier == nil {
		return true
	}
	for _, lost := range []map[yuccahinge.DomainID]yuccahinge.Millis{e.Earlier.LeftMs, e.Earlier.LostMs} {
		for _, left := range lost {
			if !(left >= 0) {
				return false
			}
		}
		if !areNames(slices.Collect(maps.Keys(lost))) {
			return false
		}
	}
	return areNames(e.Earlier.Settled)
}

func areNames(domains []yuccahinge.DomainID) bool {
	return len(domains) <= maxDomains && !slices.ContainsFunc(domains, func(d yuccahinge.DomainID) bool { return !census.IsName(string(d)) })
}

// Expire drops the lost evacuations whose time is over and reports whether there were any.
func (t *Tracker) Expire(now yuccahinge.Millis) bool { return t.publish(now) }

// Snapshot returns the set for other hosts, or nil while none is known.
func (t *Tracker) Snapshot(now yuccahinge.Millis) *yuccahinge.Evacuations {
	if !t.isKnown {
		return nil
	}
	out := &yuccahinge.Evacuations{Position: t.position, Domains: slices.Sorted(maps.Keys(t.domains))}
	if t.hasEarlier {
		out.Earlier = &yuccahinge.EarlierEvacuations{
			Position: t.earlier,
			LeftMs:   make(map[yuccahinge.DomainID]yuccahinge.Millis, len(t.lostUntil)),
			LostMs:   make(map[yuccahinge.DomainID]yuccahinge.Millis, len(t.lostBefore)),
			Settled:  slices.Sorted(maps.Keys(t.settled)),
		}
		for d, until := range t.lostUntil {
			out.Earlier.LeftMs[d] = max(0, until-now)
		}
		for d, until := range t.lostBefore {
			out.Earlier.LostMs[d] = max(0, until-now)
		}
	}
	return out
}

// inForceAt returns the evacuated domains: the exact set and what the store has lost.
func (t *Tracker) inForceAt(now yuccahinge.Millis) map[yuccahinge.DomainID]bool {
	out := make(map[yuccahinge.DomainID]bool, len(t.domains))
	for d := range t.domains {
		out[d] = true
	}
	for _, lost := range []map[yuccahinge.DomainID]yuccahinge.Millis{t.lostUntil, t.lostBefore} {
		for d, until := range lost {
			if now < until && !t.settled[d] {
				out[d] = true
			}
		}
	}
	return out
}

// publish sets the domains that IsEvacuated returns and reports whether they changed.
func (t *Tracker) publish(now yuccahinge.Millis) bool {
	next := t.inForceAt(now)
	var before map[yuccahinge.DomainID]bool
	if p := t.inForce.Load(); p != nil {
		before = *p
	}
	if maps.Equal(before, next) {
		return false
	}
	if len(next) == 0 {
		t.inForce.Store(nil)
		return true
	}
	t.inForce.Store(&next)
	return true
}
