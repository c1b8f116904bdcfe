package roster

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// PickPeers returns the hosts to exchange with in this round: one of the own domain in a shuffled order; one of another
// domain every remoteEvery rounds, or when calls to the first one fail; one whose last call failed; and a dead one every
// deadEvery rounds, or when many are dead, so that the two sides of a healed partition find each other.
func (r *Roster) PickPeers(now yuccahinge.Millis) []yuccahinge.Member {
	r.ownEntry(now)
	r.rounds++
	var out []yuccahinge.Member
	out = r.appendLocal(out)
	if r.rounds%remoteEvery == 0 || !r.allAnswered(out) {
		out = r.appendRemote(out)
	}
	out = r.appendRandom(out, func(e *entry) bool { return e.failures > 0 && e.row.Member.Status != yuccahinge.StatusDead })
	if r.rounds%deadEvery == 0 || r.hasManyDead() {
		out = r.appendRandom(out, isDead)
	}
	return out
}

func isDead(e *entry) bool { return e.row.Member.Status == yuccahinge.StatusDead }

// hasManyDead reports whether so many hosts are dead that this host may itself be cut off by a partition.
func (r *Roster) hasManyDead() bool {
	n := 0
	for _, e := range r.rows {
		if isDead(e) {
			n++
		}
	}
	return n*manyDeadDivisor >= len(r.rows)
}

// allAnswered reports whether there are members and the last call to each succeeded.
func (r *Roster) allAnswered(members []yuccahinge.Member) bool {
	for _, m := range members {
		if r.rows[yuccahinge.HostID(m.ID)].failures > 0 {
			return false
		}
	}
	return len(members) > 0
}

// appendRemote adds a host of another domain. It prefers one whose last call succeeded, since in a partition that may be
// the only reachable host.
func (r *Roster) appendRemote(out []yuccahinge.Member) []yuccahinge.Member {
	n := len(out)
	out = r.appendRandom(out, func(e *entry) bool { return r.isRemote(e) && e.failures == 0 })
	if len(out) > n {
		return out
	}
	return r.appendRandom(out, r.isRemote)
}

func (r *Roster) isRemote(e *entry) bool {
	m := &e.row.Member
	return m.Domain != r.Self.Domain && m.Status != yuccahinge.StatusDead
}

func (r *Roster) isLocal(e *entry) bool {
	m := &e.row.Member
	return m.Domain == r.Self.Domain && m.Status != yuccahinge.StatusDead
}

// appendLocal adds the next host of the own domain from a shuffled queue, so that each is called once before any is
// called again.
func (r *Roster) appendLocal(out []yuccahinge.Member) []yuccahinge.Member {
	for range 2 {
		for len(r.localQueue) > 0 {
			id := r.localQueue[0]
			r.localQueue = r.localQueue[1:]
			if e := r.rows[id]; e != nil && r.isLocal(e) {
				return append(out, e.row.Member)
			}
		}
		r.localQueue = r.matchingIDs(r.isLocal)
		r.rand.Shuffle(len(r.localQueue), func(i, j int) { r.localQueue[i], r.localQueue[j] = r.localQueue[j], r.localQueue[i] })
	}
	return out
}

// appendRandom adds a random host that matches and is not in out.
func (r *Roster) appendRandom(out []yuccahinge.Member, match func(*entry) bool) []yuccahinge.Member {
	ids := r.matchingIDs(match)
	ids = slices.DeleteFunc(ids, func(id yuccahinge.HostID) bool {
		return slices.ContainsFunc(out, func(m yuccahinge.Member) bool { return m.ID == string(id) })
	})
	if len(ids) == 0 {
		return out
	}
	return append(out, r.rows[ids[r.rand.IntN(len(ids))]].row.Member)
}

// matchingIDs returns the other hosts that match and have a peer address, sorted by id.
func (r *Roster) matchingIDs(match func(*entry) bool) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range r.sortedIDs() {
		e := r.rows[id]
		if id != yuccahinge.HostID(r.Self.ID) && e.row.Member.PeerAddr != "" && match(e) {
			out = append(out, id)
		}
	}
	return out
}
