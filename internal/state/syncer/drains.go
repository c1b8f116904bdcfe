package syncer

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// anyIncarnation is the key of a draining notice that names no incarnation; it applies to every incarnation.
const anyIncarnation yuccahinge.Incarnation = ""

// drainSet is the set of draining searchers, copied on write. The Syncer's lock guards replace.
type drainSet struct {
	set atomic.Pointer[map[yuccahinge.SearcherID]map[yuccahinge.Incarnation]bool]
	// incarnations maps each SearcherID to the Incarnation that the searcher itself reported. There are thousands of
	// entries, each written once per incarnation, so the map is not copied.
	incarnations sync.Map
}

// isDraining reports whether the searcher's current incarnation is draining. If the current incarnation is not known,
// a notice for any incarnation applies.
func (d *drainSet) isDraining(id yuccahinge.SearcherID) bool {
	set := d.set.Load()
	if set == nil {
		return false
	}
	draining := (*set)[id]
	if len(draining) == 0 {
		return false
	}
	if draining[anyIncarnation] {
		return true
	}
	incarnation, known := d.incarnations.Load(id)
	return !known || draining[incarnation.(yuccahinge.Incarnation)]
}

// replace sets the draining searchers to those in the notices.
func (d *drainSet) replace(notices []yuccahinge.Notice) {
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

// setIncarnation records the incarnation that a searcher itself reported.
func (d *drainSet) setIncarnation(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	if old, ok := d.incarnations.Load(id); ok && old == incarnation {
		return
	}
	d.incarnations.Store(id, incarnation)
}
