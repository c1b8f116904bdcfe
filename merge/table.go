package merge

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// minSlots is the least number of slots of a table, a power of two.
	minSlots = 64
	// maxFill is the share of the slots, as one in so many, that may be taken.
	maxFill = 2
)

// table finds hits by their document's id: an open hash table of positions, each one more than the index,
// since zero marks a free slot.
type table struct {
	slots []int32
	used  int
}

// insert finds the hit with the id and returns its index. If there is none it notes that the id will be
// the next hit.
func (t *table) insert(hits []yuccahinge.Hit, id yuccahinge.DocumentID) (int, bool) {
	t.grow(hits, t.used+1)
	mask := uint64(len(t.slots) - 1)
	for i := hash(id) & mask; ; i = (i + 1) & mask {
		at := t.slots[i]
		if at == 0 {
			t.used++
			t.slots[i] = int32(len(hits) + 1)
			return 0, false
		}
		if hits[at-1].ID == id {
			return int(at - 1), true
		}
	}
}

// grow makes room for n hits.
func (t *table) grow(hits []yuccahinge.Hit, n int) {
	size := max(minSlots, len(t.slots))
	for size < n*maxFill {
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
