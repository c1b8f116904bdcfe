package syncer

import (
	"context"
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/evac"
)

// expireEvery is the interval at which evacuations that the platform has lost are checked for their end.
const expireEvery = yuccahinge.Millis(250)

// ApplyEvacuations applies evacuations that were read from the platform, unless none are tracked.
func (s *Syncer) ApplyEvacuations(b *evac.Batch) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	for _, problem := range b.Problems {
		s.record(yuccahinge.Event{Code: event.EvacuationInvalid, Detail: problem})
	}
	s.changeEvacuations(now, func(t *evac.Tracker) bool { return t.Apply(now, b) })
}

// mergeEvacuations merges another host's set. The caller holds the lock.
func (s *Syncer) mergeEvacuations(now yuccahinge.Millis, e *yuccahinge.Evacuations) {
	if e != nil {
		s.changeEvacuations(now, func(t *evac.Tracker) bool { return t.Merge(now, e) })
	}
}

// runEvacuations ends the evacuations that the platform has lost in time.
func (s *Syncer) runEvacuations(ctx context.Context) error {
	for s.Evacuations != nil && s.sleep(ctx, expireEvery) {
		now := s.Clock.Now()
		s.mu.Lock()
		s.changeEvacuations(now, func(t *evac.Tracker) bool { return t.Expire(now) })
		s.mu.Unlock()
	}
	return nil
}

// changeEvacuations calls a function that may change the evacuated domains and, if it does, records the change and pushes the set to
// other hosts. The caller holds the lock.
func (s *Syncer) changeEvacuations(now yuccahinge.Millis, change func(*evac.Tracker) bool) {
	if s.Evacuations == nil {
		return
	}
	before := s.Evacuations.Domains()
	if !change(s.Evacuations) {
		return
	}
	if s.OnEvacuate != nil {
		s.OnEvacuate()
	}
	after := s.Evacuations.Domains()
	at := s.Evacuations.Snapshot(now).Position
	s.recordDomains(event.DomainEvacuated, after, before, at)
	s.recordDomains(event.DomainRestored, before, after, at)
	for _, peer := range s.randomPeers(noticePushPeers) {
		s.startCall(func() { _ = s.exchange(s.ctx, peer, nil) })
	}
}

// recordDomains records an event for each domain that is not among the others.
func (s *Syncer) recordDomains(code yuccahinge.EventCode, domains, others []yuccahinge.DomainID, at yuccahinge.Position) {
	for _, d := range domains {
		if !slices.Contains(others, d) {
			s.record(yuccahinge.Event{Code: code, Detail: fmt.Sprintf("%s, revision %d of epoch %d", d, at.Revision, at.Epoch)})
		}
	}
}

// evacuationsForPeers returns the set for other hosts, or nil if there is none. The caller holds the lock.
func (s *Syncer) evacuationsForPeers(now yuccahinge.Millis) *yuccahinge.Evacuations {
	if s.Evacuations == nil {
		return nil
	}
	return s.Evacuations.Snapshot(now)
}
