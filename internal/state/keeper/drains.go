package keeper

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// anyIncarnation stands for a drain of a searcher whose incarnation is not known.
const anyIncarnation yuccahinge.Incarnation = ""

// drains is the set of searchers that are leaving, by copy on write. The keeper's lock guards its writers.
type drains struct {
	set atomic.Pointer[map[yuccahinge.SearcherID]map[yuccahinge.Incarnation]bool]
	// lives maps each SearcherID to the Incarnation that the searcher itself told of. There are thousands,
	// each written once in a life, so the map is not copied.
	lives sync.Map
}

// has reports whether the searcher's present life is leaving.
func (d *drains) has(id yuccahinge.SearcherID) bool {
	set := d.set.Load()
	if set == nil {
		return false
	}
	leaving := (*set)[id]
	if len(leaving) == 0 {
		return false
	}
	if leaving[anyIncarnation] {
		return true
	}
	life, known := d.lives.Load(id)
	return !known || leaving[life.(yuccahinge.Incarnation)]
}

// replace sets the searchers that are leaving.
func (d *drains) replace(notices []yuccahinge.Notice) {
	set := make(map[yuccahinge.SearcherID]map[yuccahinge.Incarnation]bool)
	for _, n := range notices {
		if n.Kind != yuccahinge.NoticeDraining {
			continue
		}
		id := yuccahinge.SearcherID(n.Key)
		if set[id] == nil {
			set[id] = make(map[yuccahinge.Incarnation]bool)
		}
		set[id][n.Incarnation] = true
	}
	d.set.Store(&set)
}

// live notes the incarnation that a searcher itself told of.
func (d *drains) live(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	if old, ok := d.lives.Load(id); ok && old == life {
		return
	}
	d.lives.Store(id, life)
}
