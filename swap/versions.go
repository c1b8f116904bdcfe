// Package swap chooses when a service switches from its previous index to a new one.
package swap

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// defaultHold is the longest time that the previous index is served if the service does not set VersionHoldMs.
const defaultHold = 10 * yuccahinge.Second

// Versions tracks which index versions the searchers hold. It chooses a new index once a replica of every shard is known to
// hold it, at the latest after the service's VersionHoldMs. The zero value is ready to use.
type Versions struct {
	held     sync.Map // of yuccahinge.SearcherID to *heldVersions
	rollouts sync.Map // of yuccahinge.ServiceName to *rollout
}

// heldVersions holds the versions of one incarnation of a searcher. It is immutable once stored.
type heldVersions struct {
	incarnation yuccahinge.Incarnation
	versions    []yuccahinge.IndexVersion
}

// rollout is the state of a service's switch to a new index version.
type rollout struct {
	mu               sync.Mutex
	newVersion       yuccahinge.IndexVersion // the new version
	newVersionSeenAt yuccahinge.Millis       // when Choose first saw newVersion
	// switchedTo is the latest version to which the service has switched.
	switchedTo atomic.Uint64
}

// RecordReport records the versions in a searcher's load report. A report without versions changes nothing.
func (vs *Versions) RecordReport(id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if report.Versions == nil {
		return
	}
	if v, ok := vs.held.Load(id); ok && v.(*heldVersions).matches(report) {
		return
	}
	vs.held.Store(id, &heldVersions{report.Incarnation, slices.Clone(report.Versions)})
}

// RecordMissing records that a searcher refused a call because it does not hold the version.
func (vs *Versions) RecordMissing(id yuccahinge.SearcherID, version yuccahinge.IndexVersion) {
	v, ok := vs.held.Load(id)
	if !ok || !slices.Contains(v.(*heldVersions).versions, version) {
		return
	}
	old := v.(*heldVersions)
	others := slices.DeleteFunc(slices.Clone(old.versions), func(o yuccahinge.IndexVersion) bool { return o == version })
	vs.held.Store(id, &heldVersions{old.incarnation, others})
}

// Holds reports whether the searcher is known to hold the version, and whether any of its versions have been reported.
func (vs *Versions) Holds(id yuccahinge.SearcherID, version yuccahinge.IndexVersion) (holds, known bool) {
	v, ok := vs.held.Load(id)
	if !ok {
		return false, false
	}
	return slices.Contains(v.(*heldVersions).versions, version), true
}

// Choose returns the index to serve: the previous one, or the new one. Once it has returned a new version it never goes
// back to the previous one.
func (vs *Versions) Choose(now yuccahinge.Millis, name yuccahinge.ServiceName, s *yuccahinge.Service) *yuccahinge.Index {
	state := vs.rollout(name)
	if s.Previous == nil || state.switchedTo.Load() == uint64(s.Index.Version) {
		return &s.Index
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.newVersion != s.Index.Version {
		state.newVersion = s.Index.Version
		state.newVersionSeenAt = now
	}
	if now < state.newVersionSeenAt+holdTime(s) && !vs.AllShardsHeld(&s.Index) {
		return s.Previous
	}
	state.switchedTo.Store(uint64(s.Index.Version))
	return &s.Index
}

// AllShardsHeld reports whether a replica of every shard is known to hold the index's version.
func (vs *Versions) AllShardsHeld(ix *yuccahinge.Index) bool {
	for i := range ix.Shards {
		if !vs.shardHeld(ix, &ix.Shards[i]) {
			return false
		}
	}
	return true
}

// UnconfirmedSearchers returns the searchers that are not known to hold the new index, sorted by id, or nil if no switch
// is pending.
func (vs *Versions) UnconfirmedSearchers(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID {
	if s.Previous == nil || vs.rollout(name).switchedTo.Load() == uint64(s.Index.Version) {
		return nil
	}
	var out []yuccahinge.SearcherID
	for id := range s.Index.Searchers {
		if holds, _ := vs.Holds(id, s.Index.Version); !holds {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (vs *Versions) shardHeld(ix *yuccahinge.Index, shard *yuccahinge.Shard) bool {
	for _, id := range shard.Searchers {
		if holds, _ := vs.Holds(id, ix.Version); holds {
			return true
		}
	}
	return false
}

func (vs *Versions) rollout(name yuccahinge.ServiceName) *rollout {
	if v, ok := vs.rollouts.Load(name); ok {
		return v.(*rollout)
	}
	v, _ := vs.rollouts.LoadOrStore(name, new(rollout))
	return v.(*rollout)
}

func (h *heldVersions) matches(report *yuccahinge.LoadReport) bool {
	return h.incarnation == report.Incarnation && slices.Equal(h.versions, report.Versions)
}

func holdTime(s *yuccahinge.Service) yuccahinge.Millis {
	if s.VersionHoldMs > 0 {
		return s.VersionHoldMs
	}
	return defaultHold
}
