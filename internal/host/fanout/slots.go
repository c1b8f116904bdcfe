package fanout

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// minSlotShare returns this host's share of the slots of the service's shard that has the fewest. It is zero if the service
// is not known.
func (f *Fanout) minSlotShare(name yuccahinge.ServiceName) int {
	state, _ := f.Engine.States.State()
	if state == nil || state.Services[name] == nil {
		return 0
	}
	ix := &state.Services[name].Index
	fewest := math.MaxInt
	for i := range ix.Shards {
		fewest = min(fewest, shardSlots(ix, &ix.Shards[i]))
	}
	if fewest == math.MaxInt {
		return 0
	}
	return fewest / max(1, f.HostCount())
}

// shardSlots returns the number of slots of all replicas of a shard.
func shardSlots(ix *yuccahinge.Index, s *yuccahinge.Shard) int {
	n := 0
	for _, id := range s.Searchers {
		if searcher := ix.Searchers[id]; searcher != nil {
			n += searcher.Slots
		}
	}
	return n
}
