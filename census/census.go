// Package census provides the list of searchers as the platform publishes it.
package census

import (
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// defaultGrace is how long after an outage of the platform a searcher without an entry still counts. The platform
// promises that entries which lapsed meanwhile are back within about two seconds.
const defaultGrace = 2200 * yuccahinge.Millis(1)

// Census keeps the searchers that are listed. Changes may arrive more than once and out of order: of each key the one
// with the highest revision counts. The zero value is ready to use. It is not safe for concurrent use.
type Census struct {
	// GraceMs is how long after an outage an entry that has gone still counts.
	GraceMs yuccahinge.Millis

	entries  map[string]*entry
	revision yuccahinge.Revision
	graceEnd yuccahinge.Millis
	away     bool
}

// entry is one key of the list.
type entry struct {
	revision yuccahinge.Revision
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

// Merge takes another host's whole list and reports whether the searchers have changed. An older one changes nothing.
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
	}
	changed := false
	for i := range b.Changes {
		if c.apply(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Whole {
		c.dropOthers(now, b)
	}
	c.revision = max(c.revision, b.Revision)
	return c.Expire(now) || changed
}

func (c *Census) apply(now yuccahinge.Millis, change *yuccahinge.Change) bool {
	old := c.entries[change.Key]
	if old != nil && old.revision >= change.Revision {
		return false
	}
	if change.Listing == nil {
		c.remove(now, old, change.Revision)
		return false
	}
	c.entries[change.Key] = &entry{revision: change.Revision, listing: change.Listing}
	return old == nil || old.goneAt > 0 && old.goneAt <= now || !same(old.listing, change.Listing)
}

// remove ends an entry, after an outage only when its grace has passed.
func (c *Census) remove(now yuccahinge.Millis, old *entry, r yuccahinge.Revision) {
	if old == nil || old.goneAt > 0 {
		return
	}
	old.revision = r
	old.goneAt = max(now, c.graceEnd)
}

// dropOthers ends the entries that a whole list lacks.
func (c *Census) dropOthers(now yuccahinge.Millis, b *yuccahinge.Batch) {
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
	for key, e := range c.entries {
		if e.goneAt > 0 && e.goneAt <= now {
			delete(c.entries, key)
			changed = true
		}
	}
	return changed
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

// Services returns the searchers of each service in the order of their ids.
func (c *Census) Services() map[yuccahinge.ServiceName][]*yuccahinge.Listing {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Listing)
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		l := c.entries[key].listing
		out[l.Service] = append(out[l.Service], l)
	}
	return out
}

// Batch returns the searchers as a whole list in the order of their keys.
func (c *Census) Batch() *yuccahinge.Batch {
	out := &yuccahinge.Batch{Whole: true, Revision: c.revision, Changes: make([]yuccahinge.Change, 0, len(c.entries))}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[key]
		out.Changes = append(out.Changes, yuccahinge.Change{Key: key, Revision: e.revision, Listing: e.listing})
	}
	return out
}

// Len returns the number of searchers.
func (c *Census) Len() int { return len(c.entries) }

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
