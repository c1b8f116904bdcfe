// Package assess estimates from the ends of a host's calls how much load each searcher handles well, its speed relative to others, and
// whether it is slow or in trouble.
//
// The design and its alternatives are in docs/design/capacity.md.
package assess

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// Estimator keeps an estimate of each searcher that it watches. The zero value is ready to use, and its methods may be called
// concurrently.
type Estimator struct {
	searchers sync.Map // of yuccahinge.SearcherID to *searcher
	groups    sync.Map // of groupKey to *group
	indexes   sync.Map // of an index's ServicesHash to *usage
	// deviating is the number of searchers whose share may be below 1.
	deviating atomic.Int64
}

// groupKey identifies searchers whose latencies can be compared: they serve the same index, in one failure domain, with equally many
// slots.
type groupKey struct {
	index  uint64
	domain yuccahinge.DomainID
	slots  int
}

// Watch begins the estimate of a searcher of an index, whose ServicesHash is given. Results of searchers that are not watched are
// ignored.
func (e *Estimator) Watch(id yuccahinge.SearcherID, s *yuccahinge.Searcher, index uint64) {
	key := groupKey{index: index, domain: s.Domain, slots: max(s.Slots, 1)}
	g, ok := e.groups.Load(key)
	if !ok {
		g, _ = e.groups.LoadOrStore(key, &group{slots: key.slots})
	}
	u, ok := e.indexes.Load(index)
	if !ok {
		u, _ = e.indexes.LoadOrStore(index, new(usage))
	}
	e.searchers.LoadOrStore(id, &searcher{group: g.(*group), usage: u.(*usage), pressure: 1})
}

// Ended records the end of a call.
func (e *Estimator) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, res *yuccahinge.ShardResult) {
	v, ok := e.searchers.Load(id)
	if !ok {
		return
	}
	s := v.(*searcher)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(now, res)
	e.updateDeviation(now, s)
}

// HasDeviations reports whether the share of any searcher may be below 1. It is cheap, so that callers need not ask for the shares
// of searchers that all work alike.
func (e *Estimator) HasDeviations() bool { return e.deviating.Load() > 0 }

// Share returns the share of its usual calls that a searcher should get at present, from 0 to 1. Shares are meant in proportion to
// those of the searcher's replicas: where all have the same, none should get fewer calls than usual.
func (e *Estimator) Share(now yuccahinge.Millis, id yuccahinge.SearcherID) float64 {
	v, ok := e.searchers.Load(id)
	if !ok || !v.(*searcher).deviates.Load() {
		return 1
	}
	s := v.(*searcher)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.updateDeviation(now, s)
	return s.share(now)
}

// Estimate returns the present estimate of a searcher, or false if it is not watched.
func (e *Estimator) Estimate(now yuccahinge.Millis, id yuccahinge.SearcherID) (yuccahinge.SearcherEstimate, bool) {
	v, ok := e.searchers.Load(id)
	if !ok {
		return yuccahinge.SearcherEstimate{}, false
	}
	s := v.(*searcher)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate(now, id), true
}

// Deviations returns the estimates of the searchers that are not well, or have a speed or a capacity of their own, sorted by id.
func (e *Estimator) Deviations(now yuccahinge.Millis) []yuccahinge.SearcherEstimate {
	var out []yuccahinge.SearcherEstimate
	e.searchers.Range(func(id, v any) bool {
		s := v.(*searcher)
		s.mu.Lock()
		defer s.mu.Unlock()
		if a := s.estimate(now, id.(yuccahinge.SearcherID)); a.Condition != yuccahinge.SearcherWell || a.Speed != 1 || a.Capacity != s.group.slots {
			out = append(out, a)
		}
		return true
	})
	slices.SortFunc(out, func(a, b yuccahinge.SearcherEstimate) int { return cmp.Compare(a.Searcher, b.Searcher) })
	return out
}

// Changes returns the searchers that have become slow or are in trouble, and those that no longer are, since the last call.
func (e *Estimator) Changes(now yuccahinge.Millis) []Change {
	var out []Change
	e.searchers.Range(func(id, v any) bool {
		s := v.(*searcher)
		s.mu.Lock()
		defer s.mu.Unlock()
		a := s.estimate(now, id.(yuccahinge.SearcherID))
		condition := a.Condition
		if condition == yuccahinge.SearcherFull {
			condition = yuccahinge.SearcherWell // comes and goes with each burst
		}
		before := cmp.Or(s.reported, yuccahinge.SearcherWell)
		if s.reported = condition; condition != before {
			out = append(out, Change{Before: before, After: a})
		}
		return true
	})
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.After.Searcher, b.After.Searcher) })
	return out
}

// Prune removes the searchers for which keep returns false.
func (e *Estimator) Prune(keep func(id yuccahinge.SearcherID) bool) {
	e.searchers.Range(func(id, v any) bool {
		if keep(id.(yuccahinge.SearcherID)) {
			return true
		}
		e.searchers.Delete(id)
		s := v.(*searcher)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.deviates.Swap(false) {
			e.deviating.Add(-1)
		}
		return true
	})
}

// updateDeviation keeps the count of searchers whose share may be below 1. The caller holds the searcher's lock.
func (e *Estimator) updateDeviation(now yuccahinge.Millis, s *searcher) {
	deviates := s.share(now) < 1
	if s.deviates.Swap(deviates) == deviates {
		return
	}
	if deviates {
		e.deviating.Add(1)
		return
	}
	e.deviating.Add(-1)
}
