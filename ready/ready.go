// Package ready provides the choice between a service's new index and the one that it replaces.
package ready

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// defaultHold is the time that the previous index is served when a service names none.
const defaultHold = 10 * yuccahinge.Second

// Ready learns which versions the searchers hold and serves a new index once a replica of every shard is
// known to hold it, at the latest after the service's VersionHoldMs. The zero value is ready to use.
type Ready struct {
	held   sync.Map // of yuccahinge.SearcherID to *holding
	choice sync.Map // of yuccahinge.ServiceName to *choice
}

// holding is immutable once published.
type holding struct {
	incarnation yuccahinge.Incarnation
	versions    []yuccahinge.IndexVersion
}

// choice is the state of one service's change of version.
type choice struct {
	mu      sync.Mutex
	version yuccahinge.IndexVersion
	since   yuccahinge.Millis
	// settled is the version that is served from now on.
	settled atomic.Uint64
}

// Observe takes what a searcher says of itself.
func (r *Ready) Observe(id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if report.Versions == nil {
		return
	}
	if v, ok := r.held.Load(id); ok && v.(*holding).same(report) {
		return
	}
	r.held.Store(id, &holding{report.Incarnation, slices.Clone(report.Versions)})
}

// Lacks notes that a searcher refused a version that it does not hold.
func (r *Ready) Lacks(id yuccahinge.SearcherID, version yuccahinge.IndexVersion) {
	v, ok := r.held.Load(id)
	if !ok || !slices.Contains(v.(*holding).versions, version) {
		return
	}
	old := v.(*holding)
	rest := slices.DeleteFunc(slices.Clone(old.versions), func(o yuccahinge.IndexVersion) bool { return o == version })
	r.held.Store(id, &holding{old.incarnation, rest})
}

// Holds reports whether the searcher is known to hold the version, and whether anything is known of it.
func (r *Ready) Holds(id yuccahinge.SearcherID, version yuccahinge.IndexVersion) (holds, known bool) {
	v, ok := r.held.Load(id)
	if !ok {
		return false, false
	}
	return slices.Contains(v.(*holding).versions, version), true
}

// Choose returns the index to serve. The answer goes from the previous index to the new one once and
// never back.
func (r *Ready) Choose(now yuccahinge.Millis, name yuccahinge.ServiceName, s *yuccahinge.Service) *yuccahinge.Index {
	c := r.of(name)
	if s.Previous == nil || c.settled.Load() == uint64(s.Index.Version) {
		return &s.Index
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != s.Index.Version {
		c.version = s.Index.Version
		c.since = now
	}
	if now < c.since+hold(s) && !r.Covered(&s.Index) {
		return s.Previous
	}
	c.settled.Store(uint64(s.Index.Version))
	return &s.Index
}

// Covered reports whether a replica of every shard is known to hold the index.
func (r *Ready) Covered(ix *yuccahinge.Index) bool {
	for i := range ix.Shards {
		if !r.shardCovered(ix, &ix.Shards[i]) {
			return false
		}
	}
	return true
}

// Unknown returns the searchers of the new index that are not known to hold it, while it is being held back.
func (r *Ready) Unknown(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID {
	if s.Previous == nil || r.of(name).settled.Load() == uint64(s.Index.Version) {
		return nil
	}
	var out []yuccahinge.SearcherID
	for id := range s.Index.Searchers {
		if holds, _ := r.Holds(id, s.Index.Version); !holds {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (r *Ready) shardCovered(ix *yuccahinge.Index, shard *yuccahinge.Shard) bool {
	for _, id := range shard.Searchers {
		if holds, _ := r.Holds(id, ix.Version); holds {
			return true
		}
	}
	return false
}

func (r *Ready) of(name yuccahinge.ServiceName) *choice {
	if v, ok := r.choice.Load(name); ok {
		return v.(*choice)
	}
	v, _ := r.choice.LoadOrStore(name, new(choice))
	return v.(*choice)
}

func (h *holding) same(report *yuccahinge.LoadReport) bool {
	return h.incarnation == report.Incarnation && slices.Equal(h.versions, report.Versions)
}

func hold(s *yuccahinge.Service) yuccahinge.Millis {
	if s.VersionHoldMs > 0 {
		return s.VersionHoldMs
	}
	return defaultHold
}
