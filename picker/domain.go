package picker

import (
	"slices"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// cutSilenceMs is how long cutCalls calls to a failure domain may be in flight without any reply before the domain
	// counts as cut off. Single searchers may stop replying for about as long, but never so many at once.
	cutSilenceMs = 250.0
	cutCalls     = 6
	// cutFailures is the number of consecutive failed calls, with no reply from the domain in between, from which it
	// counts as cut off.
	cutFailures = 12
)

// domainState tracks whether this host reaches one failure domain.
type domainState struct {
	unansweredCalls atomic.Int64 // calls started since the last reply
	waitingSince    atomicFloat  // start of the first of the unanswered calls
	failuresInRow   atomic.Int64
	cut             atomic.Bool
}

func (d *domainState) recordStart(now yuccahinge.Millis) {
	if d.unansweredCalls.Add(1) == 1 {
		d.waitingSince.store(float64(now))
	}
}

// recordEnd records the end of a call. Only a reply shows that the domain can be reached.
func (d *domainState) recordEnd(r *yuccahinge.ShardResult) {
	switch {
	case r.DroppedInQueue():
		d.cancelStart()
	case r.Reply != nil || r.FailureResponse != nil:
		d.recordReply()
	case r.Reason == yuccahinge.ReasonConnectionLost, r.Reason == yuccahinge.ReasonUnreachable, r.Reason == yuccahinge.ReasonTimeout:
		if d.failuresInRow.Add(1) >= cutFailures {
			d.cut.Store(true)
		}
	}
}

// cancelStart reverts recordStart for a call that was never sent.
func (d *domainState) cancelStart() {
	for n := d.unansweredCalls.Load(); n > 0; n = d.unansweredCalls.Load() {
		if d.unansweredCalls.CompareAndSwap(n, n-1) {
			return
		}
	}
}

func (d *domainState) recordReply() {
	d.unansweredCalls.Store(0)
	d.failuresInRow.Store(0)
	d.cut.Store(false)
}

// isCut reports whether the domain seems to be cut off. It stays cut off until one of its searchers replies.
func (d *domainState) isCut(now yuccahinge.Millis) bool {
	if d.cut.Load() {
		return true
	}
	// Calls started before the last reply are not among the unanswered: they may hang because single searchers are down,
	// which does not show that the domain is cut off.
	if d.unansweredCalls.Load() < cutCalls || float64(now)-d.waitingSince.load() < cutSilenceMs {
		return false
	}
	d.cut.Store(true)
	return true
}

// domain returns the state of a failure domain, creating it if needed.
func (b *Balancer) domain(id yuccahinge.DomainID) *domainState {
	if v, ok := b.domains.Load(id); ok {
		return v.(*domainState)
	}
	v, _ := b.domains.LoadOrStore(id, new(domainState))
	return v.(*domainState)
}

// watchDomain returns the state of a searcher's failure domain and links the searcher's later calls to it.
func (b *Balancer) watchDomain(s *searcherStats, id yuccahinge.DomainID) *domainState {
	if d := s.domain.Load(); d != nil {
		return d
	}
	d := b.domain(id)
	s.domain.Store(d)
	return d
}

// CutDomains returns the failure domains that seem to be cut off from this host.
func (b *Balancer) CutDomains(now yuccahinge.Millis) []yuccahinge.DomainID {
	var out []yuccahinge.DomainID
	b.domains.Range(func(id, v any) bool {
		if v.(*domainState).isCut(now) {
			out = append(out, id.(yuccahinge.DomainID))
		}
		return true
	})
	return out
}

// IsDomainCut reports whether a failure domain seems to be cut off from this host.
func (b *Balancer) IsDomainCut(now yuccahinge.Millis, id yuccahinge.DomainID) bool {
	v, ok := b.domains.Load(id)
	return ok && v.(*domainState).isCut(now)
}

// ReachableShards returns the number of shards that have a searcher in a failure domain that is not cut off.
func (b *Balancer) ReachableShards(now yuccahinge.Millis, ix *yuccahinge.Index) int {
	cut := b.CutDomains(now)
	n := 0
	for i := range ix.Shards {
		if hasSearcherOutside(ix, &ix.Shards[i], cut) {
			n++
		}
	}
	return n
}

// hasSearcherOutside reports whether a shard has a searcher outside the given domains.
func hasSearcherOutside(ix *yuccahinge.Index, s *yuccahinge.Shard, domains []yuccahinge.DomainID) bool {
	for _, id := range s.Searchers {
		if len(domains) == 0 || !slices.Contains(domains, ix.Searchers[id].Domain) {
			return true
		}
	}
	return false
}
