package ticket

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

func checkIndex(path string, kind yuccahinge.ServiceKind, ix *yuccahinge.Index) error {
	if ix.Version == 0 {
		return invalid(path+".version", "0 is not a version")
	}
	if len(ix.Searchers) == 0 {
		return invalid(path+".searchers", "the index has no searchers")
	}
	for _, id := range sortedKeys(ix.Searchers) {
		if err := checkSearcher(path+".searchers."+string(id), id, ix.Searchers[id]); err != nil {
			return err
		}
	}
	// A charge runs on one searcher of the service, so its index needs no shard map.
	if kind == yuccahinge.KindCharge && len(ix.Shards) == 0 {
		return nil
	}
	return checkShards(path+".shards", ix)
}

func checkSearcher(path string, id yuccahinge.SearcherID, s *yuccahinge.Searcher) error {
	if !namePattern.MatchString(string(id)) {
		return invalid(path, "the name %q does not match %s", id, namePattern)
	}
	if s == nil {
		return invalid(path, "null is not a searcher")
	}
	if err := checkAddr(path+".addr", s.Addr); err != nil {
		return err
	}
	if s.Domain == "" {
		return invalid(path+".domain", "the domain is empty")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return invalid(path+".slots", "%d is not from 1 to %d", s.Slots, maxSlots)
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		return invalid(path+".connections", "%d is not from 1 to %d", s.Connections, maxConnections)
	}
	if err := checkMillis(path+".connectMs", s.ConnectMs, maxConnect); err != nil {
		return err
	}
	switch s.Protocol {
	case "", yuccahinge.HTTP1, yuccahinge.H2C:
		return nil
	}
	return invalid(path+".protocol", "%q is not http1 or h2c", s.Protocol)
}

func checkShards(path string, ix *yuccahinge.Index) error {
	seen := make(map[yuccahinge.ShardID]bool, len(ix.Shards))
	for i := range ix.Shards {
		s := &ix.Shards[i]
		if seen[s.ID] {
			return invalid(path, "the id %d is repeated", s.ID)
		}
		seen[s.ID] = true
		if err := checkReplicas(fmt.Sprintf("%s[%d].searchers", path, i), s, ix); err != nil {
			return err
		}
	}
	return checkRanges(path, ix.Shards)
}

func checkReplicas(path string, s *yuccahinge.Shard, ix *yuccahinge.Index) error {
	if len(s.Searchers) == 0 {
		return invalid(path, "shard %d has no searchers", s.ID)
	}
	seen := make(map[yuccahinge.SearcherID]bool, len(s.Searchers))
	for _, id := range s.Searchers {
		if ix.Searchers[id] == nil {
			return invalid(path, "%q is not among the searchers of the index", id)
		}
		if seen[id] {
			return invalid(path, "%q is repeated", id)
		}
		seen[id] = true
	}
	return nil
}

// checkRanges rejects gaps between shards, which would lose documents, and overlaps, which would return them twice.
func checkRanges(path string, shards []yuccahinge.Shard) error {
	sorted := slices.SortedFunc(slices.Values(shards), func(a, b yuccahinge.Shard) int {
		return cmp.Compare(a.From, b.From)
	})
	var end uint32
	for _, s := range sorted {
		if s.To <= s.From {
			return invalid(path, "shard %d is empty, from %d to %d", s.ID, s.From, s.To)
		}
		if s.From > end {
			return invalid(path, "the slots from %d to %d belong to no shard", end, s.From)
		}
		if s.From < end {
			return invalid(path, "shard %d from %d overlaps the one that ends at %d", s.ID, s.From, end)
		}
		end = s.To
	}
	if end != yuccahinge.HashSlots {
		return invalid(path, "the shards end at slot %d, not at %d", end, yuccahinge.HashSlots)
	}
	return nil
}

// sortedKeys makes the order of checks, and so the reported error, deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
