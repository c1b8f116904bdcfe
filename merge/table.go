package merge

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// minSlots is the smallest number of slots of a table, a power of two.
	minSlots = 64
	// slotsPerHit is the least number of slots for each hit, so that at most half of the slots are used.
	slotsPerHit = 2
)

// table finds hits by document id. It is a hash table with open addressing and linear probing; a slot holds the
// index of a hit plus one, since zero marks a free slot.
type table struct {
	slots     []int32
	usedSlots int
}

// findOrInsert returns the index of the hit with the id. If there is none, it records that the id belongs to the
// hit that the caller appends next.
func (t *table) findOrInsert(hits []yuccahinge.Hit, id yuccahinge.DocumentID) (int, bool) {
	t.grow(hits, t.usedSlots+1)
	mask := uint64(len(t.slots) - 1)
	for i := hash(id) & mask; ; i = (i + 1) & mask {
		entry := t.slots[i]
		if entry == 0 {
			t.usedSlots++
			t.slots[i] = int32(len(hits) + 1)
			return 0, false
		}
		if hits[entry-1].ID == id {
			return int(entry - 1), true
		}
	}
}

// grow enlarges the table for n hits and rehashes those present.
func (t *table) grow(hits []yuccahinge.Hit, n int) {
	size := max(minSlots, len(t.slots))
	for size < n*slotsPerHit {
		size *= 2
	}
	if size == len(t.slots) {
		return
	}
	t.slots = make([]int32, size)
	mask := uint64(size - 1)
	for j := range hits {
		i := hash(hits[j].ID) & mask
		for t.slots[i] != 0 {
			i = (i + 1) & mask
		}
		t.slots[i] = int32(j + 1)
	}
}

func hash(id yuccahinge.DocumentID) uint64 { return xxhash.Sum64String(string(id)) }
