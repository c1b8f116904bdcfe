package roster

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Next returns the hosts to exchange with now: one of the own domain in a shuffled order, one of another domain now
// and then and whenever the first one does not answer, one whose last call failed, and now and then a dead one, so
// that hosts meet again after a cut.
func (r *Roster) Next(now yuccahinge.Millis) []yuccahinge.Member {
	r.own(now)
	r.calls++
	var out []yuccahinge.Member
	out = r.appendNear(out)
	if r.calls%crossEvery == 0 || !r.answers(out) {
		out = r.appendFar(out)
	}
	out = r.appendAny(out, func(e *entry) bool { return e.failed > 0 && e.row.Member.Status != yuccahinge.StatusDead })
	if r.calls%deadEvery == 0 || r.manyDead() {
		out = r.appendAny(out, isDead)
	}
	return out
}

func isDead(e *entry) bool { return e.row.Member.Status == yuccahinge.StatusDead }

// manyDead reports whether so many hosts are dead that this one may be the one that was cut off.
func (r *Roster) manyDead() bool {
	n := 0
	for _, e := range r.rows {
		if isDead(e) {
			n++
		}
	}
	return n*manyShare >= len(r.rows)
}

// answers reports whether there are hosts and the last calls to them brought replies.
func (r *Roster) answers(members []yuccahinge.Member) bool {
	for _, m := range members {
		if r.rows[yuccahinge.HostID(m.ID)].failed > 0 {
			return false
		}
	}
	return len(members) > 0
}

// appendFar adds a host of another domain, one that answers if there is one: it may be the only way out of a cut.
func (r *Roster) appendFar(out []yuccahinge.Member) []yuccahinge.Member {
	n := len(out)
	out = r.appendAny(out, func(e *entry) bool { return r.isFar(e) && e.failed == 0 })
	if len(out) > n {
		return out
	}
	return r.appendAny(out, r.isFar)
}

func (r *Roster) isFar(e *entry) bool {
	m := &e.row.Member
	return m.Domain != r.Self.Domain && m.Status != yuccahinge.StatusDead
}

func (r *Roster) isNear(e *entry) bool {
	m := &e.row.Member
	return m.Domain == r.Self.Domain && m.Status != yuccahinge.StatusDead
}

// appendNear walks the own domain in a shuffled order, so that each host is called once a round.
func (r *Roster) appendNear(out []yuccahinge.Member) []yuccahinge.Member {
	for range 2 {
		for len(r.queue) > 0 {
			id := r.queue[0]
			r.queue = r.queue[1:]
			if e := r.rows[id]; e != nil && r.isNear(e) {
				return append(out, e.row.Member)
			}
		}
		r.queue = r.ids(r.isNear)
		r.rand.Shuffle(len(r.queue), func(i, j int) { r.queue[i], r.queue[j] = r.queue[j], r.queue[i] })
	}
	return out
}

// appendAny adds a random host that fits and is not in out.
func (r *Roster) appendAny(out []yuccahinge.Member, fits func(*entry) bool) []yuccahinge.Member {
	ids := r.ids(fits)
	ids = slices.DeleteFunc(ids, func(id yuccahinge.HostID) bool {
		return slices.ContainsFunc(out, func(m yuccahinge.Member) bool { return m.ID == string(id) })
	})
	if len(ids) == 0 {
		return out
	}
	return append(out, r.rows[ids[r.rand.IntN(len(ids))]].row.Member)
}

// ids returns the other hosts that fit, with an address to call, in the order of their ids.
func (r *Roster) ids(fits func(*entry) bool) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range r.sortedIDs() {
		e := r.rows[id]
		if id != yuccahinge.HostID(r.Self.ID) && e.row.Member.PeerAddr != "" && fits(e) {
			out = append(out, id)
		}
	}
	return out
}
