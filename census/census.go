// Package census provides the list of searchers as the platform publishes it.
package census

import (
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultGrace is how long after an outage of the platform a searcher without an entry still counts. The platform
	// promises that entries which lapsed meanwhile are back within about two seconds.
	defaultGrace yuccahinge.Millis = 2200
	// keptRemovals is the number of removals that are remembered for hosts which are a little behind.
	keptRemovals = 512
)

// Census keeps the searchers that are listed. Changes may arrive more than once and out of order: of each key the one
// with the highest revision counts. The zero value is ready to use. It is not safe for concurrent use.
type Census struct {
	// GraceMs is how long after an outage an entry that has gone still counts.
	GraceMs yuccahinge.Millis

	entries  map[string]*entry
	revision yuccahinge.Revision
	graceEnd yuccahinge.Millis
	away     bool
	// removals are the newest ones, the oldest first; all after removalsFrom are there.
	removals     []yuccahinge.Change
	removalsFrom yuccahinge.Revision
}

// entry is one key of the list.
type entry struct {
	// revision is that of the newest change, and told that of the newest one that said something new.
	revision yuccahinge.Revision
	told     yuccahinge.Revision
	listing  *yuccahinge.Listing
	// goneAt is when an entry that was removed stops to count; zero while it stands.
	goneAt yuccahinge.Millis
}

// Revision returns the revision up to which changes are known.
func (c *Census) Revision() yuccahinge.Revision { return c.revision }

// Away notes that the platform can't be read.
func (c *Census) Away() { c.away = true }

// Apply takes changes that were read from the platform at an instant and reports whether the searchers have changed.
func (c *Census) Apply(now yuccahinge.Millis, b *yuccahinge.Batch) bool {
	if c.away {
		c.away = false
		c.graceEnd = now + c.grace()
	}
	return c.take(now, b)
}

// Merge takes what another host knows and reports whether the searchers have changed. What is older changes nothing.
func (c *Census) Merge(now yuccahinge.Millis, b *yuccahinge.Batch) bool {
	if b.Revision < c.revision {
		return false
	}
	// The other host has kept lapsed entries for as long as they count.
	c.graceEnd = 0
	return c.take(now, b)
}

func (c *Census) take(now yuccahinge.Millis, b *yuccahinge.Batch) bool {
	if c.entries == nil {
		c.entries = make(map[string]*entry)
		c.removalsFrom = b.Revision
	}
	changed := false
	for i := range b.Changes {
		if c.change(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Whole {
		c.removeOthers(now, b)
	}
	c.revision = max(c.revision, b.Revision)
	return c.Expire(now) || changed
}

// change takes one change and reports whether it says something new of a searcher that counts.
func (c *Census) change(now yuccahinge.Millis, change *yuccahinge.Change) bool {
	old := c.entries[change.Key]
	if old != nil && old.revision >= change.Revision {
		return false
	}
	if change.Listing == nil {
		c.remove(now, old, change.Revision)
		return false
	}
	if old != nil && (old.goneAt == 0 || old.goneAt > now) && same(old.listing, change.Listing) {
		old.revision = change.Revision
		old.goneAt = 0
		return false
	}
	c.entries[change.Key] = &entry{revision: change.Revision, told: change.Revision, listing: change.Listing}
	return true
}

// remove ends an entry, after an outage only when its grace has passed.
func (c *Census) remove(now yuccahinge.Millis, old *entry, r yuccahinge.Revision) {
	if old == nil || old.goneAt > 0 {
		return
	}
	old.revision = r
	old.goneAt = max(now, c.graceEnd)
}

// removeOthers ends the entries that a whole list lacks.
func (c *Census) removeOthers(now yuccahinge.Millis, b *yuccahinge.Batch) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, e := range c.entries {
		if !listed[key] && e.revision <= b.Revision {
			c.remove(now, e, b.Revision)
		}
	}
}

// Expire drops the entries whose grace has passed and reports whether the searchers have changed.
func (c *Census) Expire(now yuccahinge.Millis) bool {
	changed := false
	for _, key := range c.sortedKeys() {
		e := c.entries[key]
		if e.goneAt > 0 && e.goneAt <= now {
			delete(c.entries, key)
			c.forget(yuccahinge.Change{Key: key, Revision: e.revision})
			changed = true
		}
	}
	return changed
}

// forget remembers a removal for other hosts.
func (c *Census) forget(change yuccahinge.Change) {
	// A grace may end after newer changes were told to others.
	change.Revision = max(change.Revision, c.revision)
	c.removals = append(c.removals, change)
	if over := len(c.removals) - keptRemovals; over > 0 {
		c.removalsFrom = c.removals[over-1].Revision
		c.removals = slices.Delete(c.removals, 0, over)
	}
}

// Next returns when Expire has something to do, or false.
func (c *Census) Next() (yuccahinge.Millis, bool) {
	var next yuccahinge.Millis
	for _, e := range c.entries {
		if e.goneAt > 0 && (next == 0 || e.goneAt < next) {
			next = e.goneAt
		}
	}
	return next, next > 0
}

// Settled reports whether the list is what the platform published at its revision. It is not while entries that have
// gone still count: who goes by its revision would never hear of their end.
func (c *Census) Settled(now yuccahinge.Millis) bool {
	_, pending := c.Next()
	return !pending && now >= c.graceEnd
}

// Services returns the searchers of each service in the order of their ids.
func (c *Census) Services() map[yuccahinge.ServiceName][]*yuccahinge.Listing {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Listing)
	for _, key := range c.sortedKeys() {
		l := c.entries[key].listing
		out[l.Service] = append(out[l.Service], l)
	}
	return out
}

// Since returns what has changed after a revision, or the whole list when too little is remembered. Heartbeats that
// said nothing new are left out.
func (c *Census) Since(after yuccahinge.Revision) *yuccahinge.Batch {
	out := &yuccahinge.Batch{Revision: c.revision, Whole: after < c.removalsFrom}
	for _, key := range c.sortedKeys() {
		if e := c.entries[key]; out.Whole || e.told > after {
			out.Changes = append(out.Changes, yuccahinge.Change{Key: key, Revision: e.told, Listing: e.listing})
		}
	}
	if out.Whole {
		return out
	}
	for i := range c.removals {
		// A grace may have ended without a new revision.
		if r := &c.removals[i]; r.Revision >= after && c.entries[r.Key] == nil {
			out.Changes = append(out.Changes, *r)
		}
	}
	return out
}

// Len returns the number of searchers.
func (c *Census) Len() int { return len(c.entries) }

func (c *Census) sortedKeys() []string { return slices.Sorted(maps.Keys(c.entries)) }

func (c *Census) grace() yuccahinge.Millis {
	if c.GraceMs > 0 {
		return c.GraceMs
	}
	return defaultGrace
}

// same reports whether two entries of a key say the same for the choice of a searcher. How long one is still cold
// changes with every entry.
func same(a, b *yuccahinge.Listing) bool {
	x, y := *a, *b
	x.ColdMs, y.ColdMs = 0, 0
	return x == y
}
