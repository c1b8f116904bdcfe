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
	// maxGone bounds the removed searchers whose last entries are remembered.
	maxGone = 4096
	// warmupJitterMs is how much later the end of a warm-up must be than the known one to count as that of another warm-up. Each
	// heartbeat takes another time to reach this host.
	warmupJitterMs = 1 * yuccahinge.Second
)

// SearcherList holds the listed searchers. Changes may arrive repeatedly and out of order: for each key the one with the
// highest revision wins, and those of an earlier epoch are ignored. In a new epoch, in which the platform has come back from an
// older copy of its data, the first entry of a key counts only if its searcher did not write it before the one that is known. A
// removed entry stays in the list for a grace period after an outage of the platform and at the start of an epoch, unless its key
// has a value that can't be used. The zero value is ready to use. It is not safe for concurrent use.
type SearcherList struct {
	// GraceMs is how long after an outage removed entries stay in the list; zero means 2.2 s.
	GraceMs yuccahinge.Millis
	// WatchWarmups makes a searcher that becomes cold a change of the list, and counts down the remaining warm-up times in the
	// registrations. Otherwise these stay as they were when the searcher was added or changed.
	WatchWarmups bool

	entries  map[string]*entry
	position yuccahinge.Position
	graceEnd yuccahinge.Millis
	inOutage bool
	// removals holds the newest removals, oldest first. It is complete for revisions after removalsFrom.
	removals     []yuccahinge.Change
	removalsFrom yuccahinge.Revision
	// gone holds the removed entries.
	gone map[string]*goneEntry
	// now is the instant of the last change or expiry.
	now yuccahinge.Millis
}

// goneEntry is an entry that was removed.
type goneEntry struct {
	last version
	// epoch is that of the removal, and seen the revision of an older entry that the platform has listed since, in a later epoch;
	// zero for none.
	epoch yuccahinge.Epoch
	seen  yuccahinge.Revision
}

// version tells which of two entries under one key its searcher wrote later.
type version struct{ generation, sequence int64 }

func versionOf(r *yuccahinge.Registration) version { return version{r.Generation, r.Sequence} }

// isBefore reports whether the searcher wrote v before other. It is false for an unknown sequence.
func (v version) isBefore(other version) bool {
	return v.generation < other.generation || v.generation == other.generation && v.sequence > 0 && v.sequence < other.sequence
}

// entry is the value of one key of the list.
type entry struct {
	// revision is that of the newest change, and contentRevision that of the newest one with different content. Both are zero if
	// the change was in an earlier epoch.
	revision        yuccahinge.Revision
	contentRevision yuccahinge.Revision
	registration    *yuccahinge.Registration
	newest          version
	// coldUntil is the end of the searcher's warm-up.
	coldUntil yuccahinge.Millis
	// dropAt is when a removed entry is dropped; zero if it is not removed.
	dropAt yuccahinge.Millis
}

// Position returns the position up to which changes were applied.
func (l *SearcherList) Position() yuccahinge.Position { return l.position }

// RecordOutage records a platform outage. The next Apply ends it and starts the grace period.
func (l *SearcherList) RecordOutage() { l.inOutage = true }

// KeepRemoved keeps entries that are removed from now on in the list until a time, but no longer than after an outage.
func (l *SearcherList) KeepRemoved(now, until yuccahinge.Millis) {
	l.graceEnd = max(l.graceEnd, min(until, now+l.graceMs()))
}

// Apply applies changes read from the platform at the time now and reports whether the list of searchers changed.
func (l *SearcherList) Apply(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	if l.inOutage {
		l.inOutage = false
		l.graceEnd = now + l.graceMs()
	}
	return l.applyBatch(now, b)
}

// Merge applies changes received from another host and reports whether the list of searchers changed. It ignores a
// batch with an older position.
func (l *SearcherList) Merge(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	if b.Position().Before(l.position) {
		return false
	}
	// The other host has already kept expired entries for the grace period, so they are removed here at once.
	l.graceEnd = 0
	return l.applyBatch(now, b)
}

func (l *SearcherList) applyBatch(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) bool {
	l.now = now
	switch {
	case b.Epoch < l.position.Epoch:
		return false
	case l.entries == nil:
		l.entries = make(map[string]*entry)
		l.position.Epoch = b.Epoch
		l.removalsFrom = b.Revision
	case b.Epoch > l.position.Epoch:
		l.beginEpoch(now, b)
	}
	changed := false
	for i := range b.Changes {
		if l.applyChange(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Snapshot {
		l.removeUnlisted(now, b)
	}
	l.position.Revision = max(l.position.Revision, b.Revision)
	return l.Expire(now) || changed
}

// beginEpoch carries the entries over to the epoch of a batch, for the grace period if they are not in it: the platform has lost
// the newest ones, which their searchers write again.
func (l *SearcherList) beginEpoch(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) {
	for _, e := range l.entries {
		e.revision, e.contentRevision = 0, 0
	}
	l.position = yuccahinge.Position{Epoch: b.Epoch}
	l.removals, l.removalsFrom = nil, b.Revision
	l.graceEnd = now + l.graceMs()
}

// applyChange applies one change and reports whether it adds or changes a listed searcher.
func (l *SearcherList) applyChange(now yuccahinge.Millis, change *yuccahinge.Change) bool {
	if change.Key == "" {
		return false // no searcher is known by it
	}
	old := l.entries[change.Key]
	if old != nil && (old.revision > change.Revision || old.revision == change.Revision && old.revision > 0) {
		return false
	}
	if change.Problem != "" && old != nil {
		old.revision, old.dropAt = change.Revision, now // the key is not missing, so there is no grace period
		return false
	}
	if change.Registration == nil {
		l.markRemoved(now, old, change.Revision)
		return false
	}
	next := versionOf(change.Registration)
	if l.isOutdated(change, old, next) {
		if old != nil {
			old.revision, old.dropAt = change.Revision, 0
		}
		return false
	}
	if old != nil && (old.dropAt == 0 || old.dropAt > now) && sameContent(old.registration, change.Registration) && !l.becomesCold(now, old, change.Registration) {
		if old.dropAt > 0 {
			// Other hosts may have removed it in the meantime.
			old.contentRevision = change.Revision
		}
		old.revision, old.newest = change.Revision, next
		old.dropAt = 0
		return false
	}
	l.entries[change.Key] = &entry{
		revision: change.Revision, contentRevision: change.Revision, registration: change.Registration, newest: next,
		coldUntil: now + change.Registration.WarmupLeftMs,
	}
	return true
}

// becomesCold reports whether a registration shows that a warm-up of its searcher has begun since the entry was read.
func (l *SearcherList) becomesCold(now yuccahinge.Millis, old *entry, r *yuccahinge.Registration) bool {
	return l.WatchWarmups && r.WarmupLeftMs > 0 && now+r.WarmupLeftMs > old.coldUntil+warmupJitterMs
}

// present returns the registration of an entry, with the warm-up time that remains.
func (l *SearcherList) present(e *entry) *yuccahinge.Registration {
	if !l.WatchWarmups || e.registration.WarmupLeftMs == 0 {
		return e.registration
	}
	r := *e.registration
	r.WarmupLeftMs = max(0, e.coldUntil-l.now)
	return &r
}

// isOutdated reports whether an entry is one that the platform lists because it came back from a copy: the first one of its key
// in this epoch, which its searcher wrote before the one that was known then.
func (l *SearcherList) isOutdated(change *yuccahinge.Change, old *entry, next version) bool {
	if old != nil {
		return old.revision == 0 && next.isBefore(old.newest)
	}
	g := l.gone[change.Key]
	if g == nil || g.epoch == l.position.Epoch || !next.isBefore(g.last) || g.seen > 0 && change.Revision > g.seen {
		return false
	}
	g.seen = change.Revision
	return true
}

// markRemoved marks an entry for removal, during a grace period at its end, else at once.
func (l *SearcherList) markRemoved(now yuccahinge.Millis, old *entry, r yuccahinge.Revision) {
	if old == nil || old.dropAt > 0 {
		return
	}
	old.revision = r
	old.dropAt = max(now, l.graceEnd)
}

// removeUnlisted removes the entries that are missing from a snapshot.
func (l *SearcherList) removeUnlisted(now yuccahinge.Millis, b *yuccahinge.ChangeBatch) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, e := range l.entries {
		if !listed[key] && e.revision <= b.Revision {
			l.markRemoved(now, e, b.Revision)
		}
	}
}

// Expire drops removed entries whose grace period is over and reports whether there were any.
func (l *SearcherList) Expire(now yuccahinge.Millis) bool {
	l.now = now
	changed := false
	for _, key := range l.sortedKeys() {
		e := l.entries[key]
		if e.dropAt > 0 && e.dropAt <= now {
			delete(l.entries, key)
			l.recordGone(key, e.newest)
			l.recordRemoval(yuccahinge.Change{Key: key, Revision: e.revision})
			changed = true
		}
	}
	return changed
}

// recordGone remembers the last version of a removed entry.
func (l *SearcherList) recordGone(key string, v version) {
	if l.gone == nil {
		l.gone = make(map[string]*goneEntry)
	}
	if len(l.gone) >= maxGone {
		for other := range l.gone {
			delete(l.gone, other)
			break
		}
	}
	l.gone[key] = &goneEntry{last: v, epoch: l.position.Epoch}
}

// recordRemoval records a removal for other hosts.
func (l *SearcherList) recordRemoval(change yuccahinge.Change) {
	// The grace period may end after newer changes were sent to other hosts.
	change.Revision = max(change.Revision, l.position.Revision)
	l.removals = append(l.removals, change)
	if excess := len(l.removals) - maxRemovals; excess > 0 {
		l.removalsFrom = l.removals[excess-1].Revision
		l.removals = slices.Delete(l.removals, 0, excess)
	}
}

// NextExpiry returns the time of the next removal by Expire, and false if none is pending.
func (l *SearcherList) NextExpiry() (yuccahinge.Millis, bool) {
	var next yuccahinge.Millis
	for _, e := range l.entries {
		if e.dropAt > 0 && (next == 0 || e.dropAt < next) {
			next = e.dropAt
		}
	}
	return next, next > 0
}

// InSync reports whether the list equals what the platform published at its position. It is false while removed
// entries are kept: a host that reads changes by revision would never receive their removal.
func (l *SearcherList) InSync(now yuccahinge.Millis) bool {
	_, pending := l.NextExpiry()
	return !pending && now >= l.graceEnd
}

// Services returns the searchers of each service, sorted by key. Remaining warm-up times are those at the last call of Apply, Merge or
// Expire.
func (l *SearcherList) Services() map[yuccahinge.ServiceName][]*yuccahinge.Registration {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	for _, key := range l.sortedKeys() {
		r := l.present(l.entries[key])
		out[r.Service] = append(out[r.Service], r)
	}
	return out
}

// ChangesSince returns the changes after a position, or a snapshot if it is of another epoch or removals since then are no longer
// kept. It leaves out heartbeats that changed nothing. Remaining warm-up times are those of Services.
func (l *SearcherList) ChangesSince(after yuccahinge.Position) *yuccahinge.ChangeBatch {
	out := &yuccahinge.ChangeBatch{
		Epoch: l.position.Epoch, Revision: l.position.Revision,
		Snapshot: after.Epoch != l.position.Epoch || after.Revision < l.removalsFrom,
	}
	for _, key := range l.sortedKeys() {
		if e := l.entries[key]; out.Snapshot || e.contentRevision > after.Revision {
			out.Changes = append(out.Changes, yuccahinge.Change{Key: key, Revision: e.contentRevision, Registration: l.present(e)})
		}
	}
	if out.Snapshot {
		return out
	}
	for i := range l.removals {
		// A grace period may have ended without a new revision.
		if r := &l.removals[i]; r.Revision >= after.Revision && l.entries[r.Key] == nil {
			out.Changes = append(out.Changes, *r)
		}
	}
	return out
}

// Len returns the number of listed searchers, including removed ones in their grace period.
func (l *SearcherList) Len() int { return len(l.entries) }

func (l *SearcherList) sortedKeys() []string { return slices.Sorted(maps.Keys(l.entries)) }

func (l *SearcherList) graceMs() yuccahinge.Millis {
	if l.GraceMs > 0 {
		return l.GraceMs
	}
	return defaultGraceMs
}

// sameContent reports whether two registrations are equal for the choice of a searcher. WarmupLeftMs and Sequence are not compared,
// since they change with every heartbeat; becomesCold compares the ends of warm-ups.
func sameContent(a, b *yuccahinge.Registration) bool {
	x, y := *a, *b
	x.WarmupLeftMs, y.WarmupLeftMs = 0, 0
	x.Sequence, y.Sequence = 0, 0
	return x == y
}
