package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// BucketCount is the number of hash buckets by which two rosters are compared.
const BucketCount = 64

// Delta returns up to limit rows to piggyback on a message to a host. If the host's own row is suspect or dead, it
// comes first, so that the host can refute it. The others are those that are still to be sent most often; each use
// counts as a send.
func (r *Roster) Delta(to yuccahinge.HostID, limit int) []Row {
	var out []Row
	if e := r.rows[to]; e != nil && !isAlive(e.row.Member.Status) {
		out = append(out, e.row)
	}
	var pending []*entry
	for id, e := range r.rows {
		if e.sendsLeft > 0 && id != to {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.row.Member.ID, b.row.Member.ID))
	})
	for _, e := range pending[:min(len(pending), max(0, limit-len(out)))] {
		e.sendsLeft--
		out = append(out, e.row)
	}
	return out
}

// BucketSums returns a hash of each bucket. Two hosts with the same rows have equal sums. Dead hosts are left out, since
// each roster removes them at a different time.
func (r *Roster) BucketSums() [BucketCount]uint64 {
	var sums [BucketCount]uint64
	for id, e := range r.rows {
		if e.row.Member.Status != yuccahinge.StatusDead {
			sums[bucket(id)] ^= rowHash(&e.row)
		}
	}
	return sums
}

// Checksum returns one hash of all buckets, to detect a difference between two rosters.
func (r *Roster) Checksum() uint64 {
	var all uint64
	for _, s := range r.BucketSums() {
		all ^= s
	}
	return all
}

// DiffRows returns the rows of the buckets whose sums differ from those given, in the order of their ids.
func (r *Roster) DiffRows(sums [BucketCount]uint64) []Row {
	own := r.BucketSums()
	var out []Row
	for _, id := range r.sortedIDs() {
		if b := bucket(id); own[b] != sums[b] {
			out = append(out, r.rows[id].row)
		}
	}
	return out
}

func bucket(id yuccahinge.HostID) int {
	return int(xxhash.Sum64String(string(id)) % BucketCount)
}

func rowHash(row *Row) uint64 {
	m := &row.Member
	var buf [9]byte
	binary.LittleEndian.PutUint64(buf[:], row.Epoch)
	buf[8] = byte(severity(m.Status))
	h := xxhash.New()
	_, _ = h.WriteString(m.ID + "\x00" + string(m.Incarnation) + "\x00" + m.PeerAddr)
	_, _ = h.Write(buf[:])
	return h.Sum64()
}
