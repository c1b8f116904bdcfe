package tier

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

// ownSlots returns this host's share of the slots at the shard of a service that has the fewest.
func (t *Tier) ownSlots(name yuccahinge.ServiceName) int {
	state, _ := t.Engine.States.State()
	if state == nil || state.Services[name] == nil {
		return 0
	}
	ix := &state.Services[name].Index
	fewest := math.MaxInt
	for i := range ix.Shards {
		fewest = min(fewest, slotsOf(ix, &ix.Shards[i]))
	}
	if fewest == math.MaxInt {
		return 0
	}
	return fewest / max(1, t.Hosts())
}

// slotsOf returns the slots of all replicas of a shard.
func slotsOf(ix *yuccahinge.Index, s *yuccahinge.Shard) int {
	n := 0
	for _, id := range s.Searchers {
		if one := ix.Searchers[id]; one != nil {
			n += one.Slots
		}
	}
	return n
}
