// Package stale tracks the searchers that requests may still have chosen from an earlier list.
package stale

import (
	"maps"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// keepMs is how long a searcher that is no longer ready is remembered. It is more than the time that any request takes.
const keepMs = 600 * yuccahinge.Second

// Set holds the searchers that an earlier list had as ready and the newest one has not: it has them as draining, or not at all. The
// zero value is ready to use. Update must not be called concurrently; Contains may be called at any time and takes no lock.
type Set struct {
	ready map[yuccahinge.SearcherID]*yuccahinge.Registration // those of the newest list
	since map[yuccahinge.SearcherID]yuccahinge.Millis        // when each stale searcher was first seen to be one

	stale atomic.Pointer[map[yuccahinge.SearcherID]yuccahinge.Millis] // immutable; nil if it would be empty
}

// Update applies a new list and returns the searchers that have become stale with it.
func (s *Set) Update(now yuccahinge.Millis, services map[yuccahinge.ServiceName][]*yuccahinge.Registration) []*yuccahinge.Registration {
	next := make(map[yuccahinge.SearcherID]*yuccahinge.Registration, len(s.ready))
	for _, all := range services {
		for _, r := range all {
			if !r.Draining {
				next[r.ID] = r
			}
		}
	}
	since := make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	for id, at := range s.since {
		if next[id] == nil && now < at+keepMs {
			since[id] = at
		}
	}
	var out []*yuccahinge.Registration
	for id, r := range s.ready {
		if next[id] == nil {
			since[id] = now
			out = append(out, r)
		}
	}
	s.ready, s.since = next, since
	if len(since) == 0 {
		s.stale.Store(nil)
		return out
	}
	published := maps.Clone(since)
	s.stale.Store(&published)
	return out
}

// Contains reports whether a searcher is stale and must get no request.
func (s *Set) Contains(id yuccahinge.SearcherID) bool {
	stale := s.stale.Load()
	if stale == nil {
		return false
	}
	_, ok := (*stale)[id]
	return ok
}
