// Package rendez provides rendezvous hashing: all hosts that know the same ids compute the same order of them for a key.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the ids sorted by descending weight for the key, equal weights by id. It does not modify ids.
func Order(key string, ids []string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(Weight(key, b), Weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// Weight returns the weight of an id for a key: the xxHash of both. The id with the highest weight is the first choice.
func Weight(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}
