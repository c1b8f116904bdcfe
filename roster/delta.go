package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// Buckets is the number of parts that a comparison of two rosters is made by.
const Buckets = 64

// Delta returns up to limit rows that ride along to a host: what is believed of the host itself unless it is
// well, so that it can refute it, then the rows that changed last.
func (r *Roster) Delta(to yuccahinge.HostID, limit int) []Row {
	var out []Row
	if e := r.rows[to]; e != nil && !alive(e.row.Member.Status) {
		out = append(out, e.row)
	}
	var fresh []*entry
	for id, e := range r.rows {
		if e.sends > 0 && id != to {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.row.Member.ID, b.row.Member.ID))
	})
	for _, e := range fresh[:min(len(fresh), max(0, limit-len(out)))] {
		e.sends--
		out = append(out, e.row)
	}
	return out
}

// Sums returns a hash of each bucket. Two hosts that believe the same have equal sums. The dead are left
// out, since hosts forget them at different times.
func (r *Roster) Sums() [Buckets]uint64 {
	var sums [Buckets]uint64
	for id, e := range r.rows {
		if e.row.Member.Status != yuccahinge.StatusDead {
			sums[bucket(id)] ^= sum(&e.row)
		}
	}
	return sums
}

// Sum returns one hash over all buckets.
func (r *Roster) Sum() uint64 {
	var all uint64
	for _, s := range r.Sums() {
		all ^= s
	}
	return all
}

// Rows returns the rows of the buckets whose sums differ from those given, in the order of their ids.
func (r *Roster) Rows(sums [Buckets]uint64) []Row {
	own := r.Sums()
	var out []Row
	for _, id := range r.sortedIDs() {
		if b := bucket(id); own[b] != sums[b] {
			out = append(out, r.rows[id].row)
		}
	}
	return out
}

func bucket(id yuccahinge.HostID) int {
	return int(xxhash.Sum64String(string(id)) % Buckets)
}

func sum(row *Row) uint64 {
	m := &row.Member
	var buf [9]byte
	binary.LittleEndian.PutUint64(buf[:], row.Epoch)
	buf[8] = byte(rank(m.Status))
	h := xxhash.New()
	_, _ = h.WriteString(m.ID + "\x00" + string(m.Incarnation) + "\x00" + m.PeerAddr)
	_, _ = h.Write(buf[:])
	return h.Sum64()
}
