// Package roster decides which entry hosts there are, from the platform's lagging list, from what the
// hosts say of themselves and of each other, and from calls that succeed or fail.
//
// A host's own word wins over every other. The list introduces hosts and may say that one is leaving,
// but it never ends one. A failed call makes a host suspect only after a second one, and a suspect is dead
// only when nothing was heard of it for a while.
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

// Rates of Next, in calls of Next.
const (
	crossEvery = 3
	deadEvery  = 10
)

// manyShare is the part of all hosts, as a divisor, from which on the dead are many.
const manyShare = 5

// failuresToSuspect is the number of failed calls in a row that make a host suspect.
const failuresToSuspect = 2

// MaxRows bounds the hosts that a Roster keeps.
const MaxRows = 16384

// Roster keeps a row for each entry host. Set Self before the first use. Members and Find are safe for
// concurrent use with all else; the other methods are not safe for concurrent use with each other.
type Roster struct {
	// Self is this host. Its incarnation must be of this process.
	Self yuccahinge.Member
	// Seed feeds the choice of peers.
	Seed uint64
	// DeadAfter is how long a suspect is kept before it counts as dead.
	DeadAfter yuccahinge.Millis
	// ForgetAfter is how long a dead host is still tried.
	ForgetAfter yuccahinge.Millis

	rows     map[yuccahinge.HostID]*entry
	rand     *rand.Rand
	queue    []yuccahinge.HostID
	calls    uint64
	snapshot atomic.Pointer[snapshot]
}

type entry struct {
	row Row
	// heard is when the host itself was last heard, and failed how many calls failed since.
	heard  yuccahinge.Millis
	failed int
	// since is when the status last changed.
	since yuccahinge.Millis
	// leaving is the incarnation that was seen leaving, which no other word takes back.
	leaving yuccahinge.Incarnation
	// sends is how often the row still rides along.
	sends int
}

type snapshot struct {
	members []yuccahinge.Member
	byID    map[yuccahinge.HostID]yuccahinge.Member
}

// Members returns the entry hosts that are not dead, this one included, in the order of their ids.
// The caller must not change the slice.
func (r *Roster) Members() []yuccahinge.Member {
	if s := r.snapshot.Load(); s != nil {
		return s.members
	}
	return []yuccahinge.Member{r.Self}
}

// Find returns the entry host with the id unless it is dead.
func (r *Roster) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	if s := r.snapshot.Load(); s != nil {
		m, ok := s.byID[id]
		return m, ok
	}
	return r.Self, id == yuccahinge.HostID(r.Self.ID)
}

// Own returns this host's row.
func (r *Roster) Own(now yuccahinge.Millis) Row {
	return r.own(now).row
}

func (r *Roster) own(now yuccahinge.Millis) *entry {
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
	e := &entry{row: Row{Member: m, Epoch: uint64(now * 1000)}, since: now}
	r.rows[id] = e
	r.spread(e)
	r.publish()
	return e
}

// Leave marks this host as leaving.
func (r *Roster) Leave(now yuccahinge.Millis) {
	e := r.own(now)
	e.row.Member.Status = yuccahinge.StatusLeaving
	e.leaving = e.row.Member.Incarnation
	r.spread(e)
	r.publish()
}

// Heard takes a host's own row, received from the host itself.
func (r *Roster) Heard(now yuccahinge.Millis, row Row) []Change {
	changes := r.Merge(now, []Row{row})
	e := r.rows[yuccahinge.HostID(row.Member.ID)]
	if e == nil || e.row.Member.Incarnation != row.Member.Incarnation {
		return changes
	}
	e.heard = now
	e.failed = 0
	if alive(e.row.Member.Status) {
		return changes
	}
	// Its word arrived, so it runs, whatever was believed of this epoch.
	changes = append(changes, r.set(now, e, row)...)
	r.publish()
	return changes
}

// Failed takes a call to a host that brought no reply.
func (r *Roster) Failed(now yuccahinge.Millis, id yuccahinge.HostID) []Change {
	e := r.rows[id]
	if e == nil || id == yuccahinge.HostID(r.Self.ID) {
		return nil
	}
	e.failed++
	if e.failed < failuresToSuspect || !alive(e.row.Member.Status) {
		return nil
	}
	row := e.row
	row.Member.Status = yuccahinge.StatusSuspect
	if e.row.Member.Status == yuccahinge.StatusLeaving {
		// A host that said that it leaves and no longer answers has left.
		row.Member.Status = yuccahinge.StatusDead
	}
	changes := r.set(now, e, row)
	r.publish()
	return changes
}

// Merge takes rows from another host.
func (r *Roster) Merge(now yuccahinge.Millis, rows []Row) []Change {
	r.own(now)
	var changes []Change
	changed := false
	for i := range rows {
		more, ok := r.mergeRow(now, &rows[i])
		changes = append(changes, more...)
		changed = changed || ok
	}
	if changed {
		r.publish()
	}
	return changes
}

// Learn takes rows from a comparison of whole rosters. They do not ride along from here: the hosts that lack
// them find them by comparison too, and a fleet that starts at once would send each row many times over.
func (r *Roster) Learn(now yuccahinge.Millis, rows []Row) []Change {
	sends := make(map[yuccahinge.HostID]int, len(rows))
	for i := range rows {
		id := yuccahinge.HostID(rows[i].Member.ID)
		if e := r.rows[id]; e != nil {
			sends[id] = e.sends
		}
	}
	changes := r.Merge(now, rows)
	for i := range rows {
		id := yuccahinge.HostID(rows[i].Member.ID)
		if e := r.rows[id]; e != nil && id != yuccahinge.HostID(r.Self.ID) {
			e.sends = sends[id]
		}
	}
	return changes
}

func (r *Roster) mergeRow(now yuccahinge.Millis, row *Row) ([]Change, bool) {
	if !row.valid() {
		return nil, false
	}
	id := yuccahinge.HostID(row.Member.ID)
	if id == yuccahinge.HostID(r.Self.ID) {
		return nil, r.refute(now, row)
	}
	e := r.rows[id]
	if e == nil {
		return r.add(now, *row)
	}
	if !row.newer(&e.row) || r.contradicted(now, e, row) {
		return nil, false
	}
	return r.set(now, e, *row), true
}

// refute answers what others believe of this host when it is not so.
func (r *Roster) refute(now yuccahinge.Millis, row *Row) bool {
	e := r.own(now)
	same := row.Member.Incarnation == e.row.Member.Incarnation && row.Member.Status == e.row.Member.Status
	if row.Epoch < e.row.Epoch || (row.Epoch == e.row.Epoch && same) {
		return false
	}
	if row.Epoch == e.row.Epoch && rank(row.Member.Status) < rank(e.row.Member.Status) {
		return false
	}
	e.row.Epoch = row.Epoch + 1
	r.spread(e)
	return true
}

// contradicted reports whether this host heard the member itself more recently than a suspicion of the
// same epoch can be worth. The member refutes it when it is told.
func (r *Roster) contradicted(now yuccahinge.Millis, e *entry, row *Row) bool {
	if alive(row.Member.Status) || row.Epoch > e.row.Epoch {
		return false
	}
	return e.heard > 0 && e.failed == 0 && now-e.heard < r.deadAfter()
}

func (r *Roster) add(now yuccahinge.Millis, row Row) ([]Change, bool) {
	if len(r.rows) >= MaxRows || row.Member.Status == yuccahinge.StatusDead {
		return nil, false
	}
	row.Member.Role = yuccahinge.RoleEntry
	e := &entry{row: row, since: now}
	if row.Member.Status == yuccahinge.StatusLeaving {
		e.leaving = row.Member.Incarnation
	}
	r.rows[yuccahinge.HostID(row.Member.ID)] = e
	r.spread(e)
	return []Change{{Code: event.MemberJoined, Member: row.Member}}, true
}

// set replaces a row. Leaving sticks to an incarnation.
func (r *Roster) set(now yuccahinge.Millis, e *entry, row Row) []Change {
	row.Member.Role = yuccahinge.RoleEntry
	old := e.row.Member
	if row.Member.Status == yuccahinge.StatusLeaving {
		e.leaving = row.Member.Incarnation
	}
	if row.Member.Status == yuccahinge.StatusLive && e.leaving != "" && e.leaving == row.Member.Incarnation {
		row.Member.Status = yuccahinge.StatusLeaving
	}
	e.row = row
	if old.Status != row.Member.Status {
		e.since = now
	}
	r.spread(e)
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

// Listed takes the platform's membership list. Rows of searchers are passed over.
func (r *Roster) Listed(now yuccahinge.Millis, list []yuccahinge.Member) []Change {
	r.own(now)
	var changes []Change
	for _, m := range list {
		if m.Role == yuccahinge.RoleEntry {
			changes = append(changes, r.listedHost(now, m)...)
		}
	}
	r.publish()
	return changes
}

func (r *Roster) listedHost(now yuccahinge.Millis, m yuccahinge.Member) []Change {
	row := Row{Member: m}
	if !row.valid() || m.ID == r.Self.ID {
		return nil
	}
	e := r.rows[yuccahinge.HostID(m.ID)]
	if e == nil {
		changes, _ := r.add(now, row)
		// The list reaches the other hosts by comparison.
		if e := r.rows[yuccahinge.HostID(m.ID)]; e != nil {
			e.sends = 0
		}
		return changes
	}
	leaves := m.Status == yuccahinge.StatusLeaving && m.Incarnation != "" && m.Incarnation == e.row.Member.Incarnation
	if !leaves || e.row.Member.Status != yuccahinge.StatusLive {
		return nil
	}
	row = e.row
	row.Member.Status = yuccahinge.StatusLeaving
	return r.set(now, e, row)
}

// Tick turns suspects of which nothing was heard into dead hosts, and forgets the long dead.
func (r *Roster) Tick(now yuccahinge.Millis) []Change {
	r.own(now)
	var changes []Change
	for id, e := range r.rows {
		switch {
		case e.row.Member.Status == yuccahinge.StatusSuspect && now-e.since >= r.deadAfter():
			row := e.row
			row.Member.Status = yuccahinge.StatusDead
			changes = append(changes, r.set(now, e, row)...)
		case e.row.Member.Status == yuccahinge.StatusDead && now-e.since >= r.forgetAfter():
			delete(r.rows, id)
		}
	}
	if len(changes) > 0 {
		slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
		r.publish()
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

func alive(s yuccahinge.MemberStatus) bool {
	return s == yuccahinge.StatusLive || s == yuccahinge.StatusLeaving
}

// spread lets a row ride along often enough that nearly every host hears it; comparisons find the rest.
func (r *Roster) spread(e *entry) {
	e.sends = 2 + bits.Len(uint(len(r.rows)))
}

func (r *Roster) publish() {
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
