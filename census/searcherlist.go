// Package census maintains the list of searchers that the platform publishes.
package census

import (
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultGraceMs is how long after a platform outage a searcher without an entry stays in the list. The platform
	// guarantees that entries which expired during the outage are restored within about two seconds.
	defaultGraceMs yuccahinge.Millis = 2200
	// maxRemovals is the number of recent removals kept for hosts that are a few revisions behind.
	maxRemovals = 512
)

// SearcherList holds the listed searchers. Changes may arrive repeatedly and out of order: for each key the one with the
// highest revision wins. The zero value is ready to use. It is not safe for concurrent use.
type SearcherList struct {
	// GraceMs is how long after an outage removed entries stay in the list; zero means 2.2 s.
	GraceMs yuccahinge.Millis

	entries  map[string]*entry
	revision yuccahinge.Revision
	graceEnd yuccahinge.Millis
	isOutage bool
	// removals holds the newest removals, oldest first. It is complete for revisions after removalsFrom.
	removals     []yuccahinge.Change
	removalsFrom yuccahinge.Revision
}

// entry is the value of one key of the list.
type entry struct {
	// revision is that of the newest change, and contentRevision that of the newest one with different content.
	revision        yuccahinge.Revision
	contentRevision yuccahinge.Revision
	listing         *yuccahinge.Registration
	// dropAt is when a removed entry is dropped; zero if it is not removed.
	dropAt yuccahinge.Millis
}

// Revision returns the revision up to which changes were applied.
func (c *SearcherList) Revision() yuccahinge.Revision { return c.revision }

// RecordOutage records a platform outage. The next Apply ends it and starts the grace period.
func (c *SearcherList) RecordOutage() { c.isOutage = true }

// Apply applies changes read from the platform at the time now and reports whether the list of searchers changed.
func (c *SearcherList) Apply(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	if c.isOutage {
		c.isOutage = false
		c.graceEnd = now + c.graceMs()
	}
	return c.applyBatch(now, b)
}

// Merge applies changes received from another host and reports whether the list of searchers changed. It ignores a
// batch with an older revision.
func (c *SearcherList) Merge(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	if b.Revision < c.revision {
		return false
	}
	// The other host has already applied the grace period to expired entries.
	c.graceEnd = 0
	return c.applyBatch(now, b)
}

func (c *SearcherList) applyBatch(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	if c.entries == nil {
		c.entries = make(map[string]*entry)
		c.removalsFrom = b.Revision
	}
	changed := false
	for i := range b.Changes {
		if c.applyChange(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Snapshot {
		c.removeUnlisted(now, b)
	}
	c.revision = max(c.revision, b.Revision)
	return c.Expire(now) || changed
}

// applyChange applies one change and reports whether it adds or changes a listed searcher.
func (c *SearcherList) applyChange(now yuccahinge.Millis, change *yuccahinge.Change) bool {
	old := c.entries[change.Key]
	if old != nil && old.revision >= change.Revision {
		return false
	}
	if change.Registration == nil {
		c.markRemoved(now, old, change.Revision)
		return false
	}
	if old != nil && (old.dropAt == 0 || old.dropAt > now) && sameContent(old.listing, change.Registration) {
		old.revision = change.Revision
		old.dropAt = 0
		return false
	}
	c.entries[change.Key] = &entry{revision: change.Revision, contentRevision: change.Revision, listing: change.Registration}
	return true
}

// markRemoved marks an entry for removal, during a grace period at its end, else at once.
func (c *SearcherList) markRemoved(now yuccahinge.Millis, old *entry, r yuccahinge.Revision) {
	if old == nil || old.dropAt > 0 {
		return
	}
	old.revision = r
	old.dropAt = max(now, c.graceEnd)
}

// removeUnlisted removes the entries that are missing from a whole list.
func (c *SearcherList) removeUnlisted(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, e := range c.entries {
		if !listed[key] && e.revision <= b.Revision {
			c.markRemoved(now, e, b.Revision)
		}
	}
}

// Expire drops removed entries whose grace period is over and reports whether there were any.
func (c *SearcherList) Expire(now yuccahinge.Millis) bool {
	changed := false
	for _, key := range c.sortedKeys() {
		e := c.entries[key]
		if e.dropAt > 0 && e.dropAt <= now {
			delete(c.entries, key)
			c.recordRemoval(yuccahinge.Change{Key: key, Revision: e.revision})
			changed = true
		}
	}
	return changed
}

// recordRemoval records a removal for other hosts.
func (c *SearcherList) recordRemoval(change yuccahinge.Change) {
	// The grace period may end after newer changes were sent to other hosts.
	change.Revision = max(change.Revision, c.revision)
	c.removals = append(c.removals, change)
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.removalsFrom = c.removals[excess-1].Revision
		c.removals = slices.Delete(c.removals, 0, excess)
	}
}

// NextExpiry returns the time of the next removal by Expire, and false if none is pending.
func (c *SearcherList) NextExpiry() (yuccahinge.Millis, bool) {
	var next yuccahinge.Millis
	for _, e := range c.entries {
		if e.dropAt > 0 && (next == 0 || e.dropAt < next) {
			next = e.dropAt
		}
	}
	return next, next > 0
}

// InSync reports whether the list equals what the platform published at its revision. It is false while removed
// entries are kept: a reader that relies on the revision would never receive their removal.
func (c *SearcherList) InSync(now yuccahinge.Millis) bool {
	_, pending := c.NextExpiry()
	return !pending && now >= c.graceEnd
}

// Services returns the searchers of each service, sorted by key.
func (c *SearcherList) Services() map[yuccahinge.ServiceName][]*yuccahinge.Registration {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	for _, key := range c.sortedKeys() {
		l := c.entries[key].listing
		out[l.Service] = append(out[l.Service], l)
	}
	return out
}

// ChangesSince returns the changes after a revision, or the whole list if removals since then are no longer kept. It leaves
// out heartbeats that changed nothing.
func (c *SearcherList) ChangesSince(after yuccahinge.Revision) *yuccahinge.ChangeBatch {
	out := &yuccahinge.ChangeBatch{Revision: c.revision, Snapshot: after < c.removalsFrom}
	for _, key := range c.sortedKeys() {
		if e := c.entries[key]; out.Snapshot || e.contentRevision > after {
			out.Changes = append(out.Changes, yuccahinge.Change{Key: key, Revision: e.contentRevision, Registration: e.listing})
		}
	}
	if out.Snapshot {
		return out
	}
	for i := range c.removals {
		// A grace period may have ended without a new revision.
		if r := &c.removals[i]; r.Revision >= after && c.entries[r.Key] == nil {
			out.Changes = append(out.Changes, *r)
		}
	}
	return out
}

// Len returns the number of listed searchers, including removed ones in their grace period.
func (c *SearcherList) Len() int { return len(c.entries) }

func (c *SearcherList) sortedKeys() []string { return slices.Sorted(maps.Keys(c.entries)) }

func (c *SearcherList) graceMs() yuccahinge.Millis {
	if c.GraceMs > 0 {
		return c.GraceMs
	}
	return defaultGraceMs
}

// sameContent reports whether two listings are equal for the choice of a searcher. ColdMs is not compared, since it
// changes with every heartbeat.
func sameContent(a, b *yuccahinge.Registration) bool {
	x, y := *a, *b
	x.WarmupLeftMs, y.WarmupLeftMs = 0, 0
	return x == y
}
