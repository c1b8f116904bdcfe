// Package roster maintains the membership of the entry hosts by gossip, from the platform's lagging list, from rows
// that hosts send about themselves and each other, and from calls that succeed or fail.
//
// A host's row about itself overrides every other source. The platform's list adds hosts and may mark one as leaving,
// but never removes one. Two failed calls in a row make a host suspect, and a suspect is dead when it stays suspect
// for DeadAfter.
package roster

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// Defaults of a Roster.
const (
	DefaultDeadAfter   = 8 * yuccahinge.Second
	DefaultForgetAfter = 3600 * yuccahinge.Second
)

// Every how many calls of PickPeers a host of another domain and a dead host are picked.
const (
	remoteEvery = 3
	deadEvery   = 10
)

// manyDeadDivisor is the divisor of the share of dead hosts that counts as many: one in manyDeadDivisor.
const manyDeadDivisor = 5

// failuresToSuspect is the number of consecutive failed calls after which a host is suspect.
const failuresToSuspect = 2

// MaxRows limits the hosts that a Roster keeps; hosts beyond it are ignored.
const MaxRows = 16384

// Roster keeps a row for each entry host. Set Self before the first use. Members and Find may be called
// concurrently with any method; the other methods are not safe for concurrent use with each other.
type Roster struct {
	// Self is this host. Its incarnation must be that of this process.
	Self yuccahinge.Member
	// Seed seeds the random choice of peers.
	Seed uint64
	// DeadAfter is how long a host stays suspect before it is dead; zero means DefaultDeadAfter.
	DeadAfter yuccahinge.Millis
	// ForgetAfter is how long a dead host is still called before its row is removed; zero means DefaultForgetAfter.
	ForgetAfter yuccahinge.Millis

	rows       map[yuccahinge.HostID]*entry
	rand       *rand.Rand
	localQueue []yuccahinge.HostID
	rounds     uint64
	snapshot   atomic.Pointer[snapshot]
}

type entry struct {
	row Row
	// lastContact is when the host itself last sent its row, and failures the number of calls that failed since.
	lastContact yuccahinge.Millis
	failures    int
	// statusSince is the time of the last status change.
	statusSince yuccahinge.Millis
	// leavingIncarnation is the incarnation that was seen leaving; it can't be live again.
	leavingIncarnation yuccahinge.Incarnation
	// sendsLeft is the number of deltas that will still carry the row.
	sendsLeft int
}

type snapshot struct {
	members []yuccahinge.Member
	byID    map[yuccahinge.HostID]yuccahinge.Member
}

// Members returns the entry hosts that are not dead, including this one, sorted by id.
// The caller must not change the slice.
func (r *Roster) Members() []yuccahinge.Member {
	if s := r.snapshot.Load(); s != nil {
		return s.members
	}
	return []yuccahinge.Member{r.Self}
}

// Find returns the entry host with the id, and false if it is unknown or dead.
func (r *Roster) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	if s := r.snapshot.Load(); s != nil {
		m, ok := s.byID[id]
		return m, ok
	}
	return r.Self, id == yuccahinge.HostID(r.Self.ID)
}

// OwnRow returns this host's row, which it creates with an epoch from now on first use.
func (r *Roster) OwnRow(now yuccahinge.Millis) Row {
	return r.ownEntry(now).row
}

func (r *Roster) ownEntry(now yuccahinge.Millis) *entry {
	id := yuccahinge.HostID(r.Self.ID)
	if e := r.rows[id]; e != nil {
		return e
	}
	if r.rows == nil {
		r.rows = make(map[yuccahinge.HostID]*entry)
		r.rand = rand.New(rand.NewPCG(r.Seed, xxhash.Sum64String(r.Self.ID)))
	}
	m := r.Self
	m.Role = yuccahinge.RoleEntry
	m.Status = yuccahinge.StatusLive
	e := &entry{row: Row{Member: m, Epoch: uint64(now * 1000)}, statusSince: now}
	r.rows[id] = e
	r.scheduleSends(e)
	r.publishSnapshot()
	return e
}

// MarkLeaving marks this host as leaving, which is final for its incarnation.
func (r *Roster) MarkLeaving(now yuccahinge.Millis) {
	e := r.ownEntry(now)
	e.row.Member.Status = yuccahinge.StatusLeaving
	e.leavingIncarnation = e.row.Member.Incarnation
	r.scheduleSends(e)
	r.publishSnapshot()
}

// MergeDirect merges a row that a host sent about itself, and resets the count of failed calls to that host.
func (r *Roster) MergeDirect(now yuccahinge.Millis, row Row) []Change {
	changes := r.Merge(now, []Row{row})
	e := r.rows[yuccahinge.HostID(row.Member.ID)]
	if e == nil || e.row.Member.Incarnation != row.Member.Incarnation {
		return changes
	}
	e.lastContact = now
	e.failures = 0
	if isAlive(e.row.Member.Status) {
		return changes
	}
	// The host is running, since its message arrived. This overrides a suspect or dead status of the same epoch.
	changes = append(changes, r.setRow(now, e, row)...)
	r.publishSnapshot()
	return changes
}

// RecordFailure records a call to a host that got no reply.
func (r *Roster) RecordFailure(now yuccahinge.Millis, id yuccahinge.HostID) []Change {
	e := r.rows[id]
	if e == nil || id == yuccahinge.HostID(r.Self.ID) {
		return nil
	}
	e.failures++
	if e.failures < failuresToSuspect || !isAlive(e.row.Member.Status) {
		return nil
	}
	row := e.row
	row.Member.Status = yuccahinge.StatusSuspect
	if e.row.Member.Status == yuccahinge.StatusLeaving {
		// A leaving host that stops answering has left, so it skips the suspect status.
		row.Member.Status = yuccahinge.StatusDead
	}
	changes := r.setRow(now, e, row)
	r.publishSnapshot()
	return changes
}

// Merge merges rows from another host. Invalid and outdated rows are ignored.
func (r *Roster) Merge(now yuccahinge.Millis, rows []Row) []Change {
	r.ownEntry(now)
	var changes []Change
	changed := false
	for i := range rows {
		more, ok := r.mergeRow(now, &rows[i])
		changes = append(changes, more...)
		changed = changed || ok
	}
	if changed {
		r.publishSnapshot()
	}
	return changes
}

// MergeSync merges rows from a comparison of whole rosters and doesn't schedule them for deltas: hosts that lack them
// find them by comparison too, and a fleet that starts at once would send each row many times.
func (r *Roster) MergeSync(now yuccahinge.Millis, rows []Row) []Change {
	sends := make(map[yuccahinge.HostID]int, len(rows))
	for i := range rows {
		id := yuccahinge.HostID(rows[i].Member.ID)
		if e := r.rows[id]; e != nil {
			sends[id] = e.sendsLeft
		}
	}
	changes := r.Merge(now, rows)
	for i := range rows {
		id := yuccahinge.HostID(rows[i].Member.ID)
		if e := r.rows[id]; e != nil && id != yuccahinge.HostID(r.Self.ID) {
			e.sendsLeft = sends[id]
		}
	}
	return changes
}

func (r *Roster) mergeRow(now yuccahinge.Millis, row *Row) ([]Change, bool) {
	if !row.isValid() {
		return nil, false
	}
	id := yuccahinge.HostID(row.Member.ID)
	if id == yuccahinge.HostID(r.Self.ID) {
		return nil, r.refute(now, row)
	}
	e := r.rows[id]
	if e == nil {
		return r.addRow(now, *row)
	}
	if !row.overrides(&e.row) || r.hasRecentContact(now, e, row) {
		return nil, false
	}
	return r.setRow(now, e, *row), true
}

// refute raises the epoch of this host's row above that of a received row which would override it, and reports
// whether it did.
func (r *Roster) refute(now yuccahinge.Millis, row *Row) bool {
	e := r.ownEntry(now)
	matches := row.Member.Incarnation == e.row.Member.Incarnation && row.Member.Status == e.row.Member.Status
	if row.Epoch < e.row.Epoch || (row.Epoch == e.row.Epoch && matches) {
		return false
	}
	if row.Epoch == e.row.Epoch && severity(row.Member.Status) < severity(e.row.Member.Status) {
		return false
	}
	e.row.Epoch = row.Epoch + 1
	r.scheduleSends(e)
	return true
}

// hasRecentContact reports whether a row recently sent by the member itself outweighs a suspicion of the same epoch. The
// member itself refutes the suspicion once it receives it.
func (r *Roster) hasRecentContact(now yuccahinge.Millis, e *entry, row *Row) bool {
	if isAlive(row.Member.Status) || row.Epoch > e.row.Epoch {
		return false
	}
	return e.lastContact > 0 && e.failures == 0 && now-e.lastContact < r.deadAfter()
}

func (r *Roster) addRow(now yuccahinge.Millis, row Row) ([]Change, bool) {
	if len(r.rows) >= MaxRows || row.Member.Status == yuccahinge.StatusDead {
		return nil, false
	}
	row.Member.Role = yuccahinge.RoleEntry
	e := &entry{row: row, statusSince: now}
	if row.Member.Status == yuccahinge.StatusLeaving {
		e.leavingIncarnation = row.Member.Incarnation
	}
	r.rows[yuccahinge.HostID(row.Member.ID)] = e
	r.scheduleSends(e)
	return []Change{{Code: event.MemberJoined, Member: row.Member}}, true
}

// setRow replaces a row. An incarnation that was leaving can't be live again.
func (r *Roster) setRow(now yuccahinge.Millis, e *entry, row Row) []Change {
	row.Member.Role = yuccahinge.RoleEntry
	old := e.row.Member
	if row.Member.Status == yuccahinge.StatusLeaving {
		e.leavingIncarnation = row.Member.Incarnation
	}
	if row.Member.Status == yuccahinge.StatusLive && e.leavingIncarnation != "" && e.leavingIncarnation == row.Member.Incarnation {
		row.Member.Status = yuccahinge.StatusLeaving
	}
	e.row = row
	if old.Status != row.Member.Status {
		e.statusSince = now
	}
	r.scheduleSends(e)
	code := changeCode(&old, &row.Member)
	if code == 0 {
		return nil
	}
	return []Change{{Code: code, Member: row.Member}}
}

func changeCode(old, next *yuccahinge.Member) yuccahinge.EventCode {
	if old.Incarnation != "" && old.Incarnation != next.Incarnation {
		return event.MemberRestarted
	}
	if old.Status == next.Status {
		return 0
	}
	switch next.Status {
	case yuccahinge.StatusSuspect:
		return event.MemberSuspected
	case yuccahinge.StatusDead, yuccahinge.StatusLeaving:
		return event.MemberLeft
	}
	return event.MemberRefuted
}

// MergeList merges the platform's membership list. It ignores rows of searchers.
func (r *Roster) MergeList(now yuccahinge.Millis, list []yuccahinge.Member) []Change {
	r.ownEntry(now)
	var changes []Change
	for _, m := range list {
		if m.Role == yuccahinge.RoleEntry {
			changes = append(changes, r.mergeListed(now, m)...)
		}
	}
	r.publishSnapshot()
	return changes
}

func (r *Roster) mergeListed(now yuccahinge.Millis, m yuccahinge.Member) []Change {
	row := Row{Member: m}
	if !row.isValid() || m.ID == r.Self.ID {
		return nil
	}
	e := r.rows[yuccahinge.HostID(m.ID)]
	if e == nil {
		changes, _ := r.addRow(now, row)
		// The other hosts get the row from the list or by comparison, so it isn't sent with deltas.
		if e := r.rows[yuccahinge.HostID(m.ID)]; e != nil {
			e.sendsLeft = 0
		}
		return changes
	}
	isLeaving := m.Status == yuccahinge.StatusLeaving && m.Incarnation != "" && m.Incarnation == e.row.Member.Incarnation
	if !isLeaving || e.row.Member.Status != yuccahinge.StatusLive {
		return nil
	}
	row = e.row
	row.Member.Status = yuccahinge.StatusLeaving
	return r.setRow(now, e, row)
}

// Tick marks hosts dead that were suspect for DeadAfter, and removes those that were dead for ForgetAfter.
func (r *Roster) Tick(now yuccahinge.Millis) []Change {
	r.ownEntry(now)
	var changes []Change
	for id, e := range r.rows {
		switch {
		case e.row.Member.Status == yuccahinge.StatusSuspect && now-e.statusSince >= r.deadAfter():
			row := e.row
			row.Member.Status = yuccahinge.StatusDead
			changes = append(changes, r.setRow(now, e, row)...)
		case e.row.Member.Status == yuccahinge.StatusDead && now-e.statusSince >= r.forgetAfter():
			delete(r.rows, id)
		}
	}
	if len(changes) > 0 {
		slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
		r.publishSnapshot()
	}
	return changes
}

func (r *Roster) deadAfter() yuccahinge.Millis {
	if r.DeadAfter > 0 {
		return r.DeadAfter
	}
	return DefaultDeadAfter
}

func (r *Roster) forgetAfter() yuccahinge.Millis {
	if r.ForgetAfter > 0 {
		return r.ForgetAfter
	}
	return DefaultForgetAfter
}

func isAlive(s yuccahinge.MemberStatus) bool {
	return s == yuccahinge.StatusLive || s == yuccahinge.StatusLeaving
}

// scheduleSends schedules a row for enough deltas that it reaches nearly every host; comparisons reach the rest.
func (r *Roster) scheduleSends(e *entry) {
	e.sendsLeft = 2 + bits.Len(uint(len(r.rows)))
}

// publishSnapshot replaces the snapshot that Members and Find read.
func (r *Roster) publishSnapshot() {
	s := &snapshot{byID: make(map[yuccahinge.HostID]yuccahinge.Member, len(r.rows))}
	for _, id := range r.sortedIDs() {
		m := r.rows[id].row.Member
		if m.Status == yuccahinge.StatusDead {
			continue
		}
		s.members = append(s.members, m)
		s.byID[id] = m
	}
	r.snapshot.Store(s)
}

func (r *Roster) sortedIDs() []yuccahinge.HostID {
	return slices.Sorted(maps.Keys(r.rows))
}
