package keeper

import (
	"maps"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// anyIncarnation stands for a drain of a searcher whose incarnation is not known.
const anyIncarnation yuccahinge.Incarnation = ""

// drains is the set of searchers that are leaving, by copy on write. The keeper's lock guards the writers.
type drains struct {
	set   atomic.Pointer[map[yuccahinge.SearcherID]map[yuccahinge.Incarnation]bool]
	lives atomic.Pointer[map[yuccahinge.SearcherID]yuccahinge.Incarnation]
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
	lives := d.lives.Load()
	if lives == nil {
		return true
	}
	life, known := (*lives)[id]
	return !known || leaving[life]
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
	old := d.lives.Load()
	next := make(map[yuccahinge.SearcherID]yuccahinge.Incarnation)
	if old != nil {
		maps.Copy(next, *old)
	}
	next[id] = life
	d.lives.Store(&next)
}

func (d *drains) knows(id yuccahinge.SearcherID, life yuccahinge.Incarnation) bool {
	lives := d.lives.Load()
	return lives != nil && (*lives)[id] == life
}
