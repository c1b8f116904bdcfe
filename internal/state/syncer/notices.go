package syncer

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// maxMessageNotices bounds the notices in one exchange message.
	maxMessageNotices = 32
	// minListedDrainTTL is the minimum TTL of a draining notice that was read from the membership list. Each read of
	// the list renews it.
	minListedDrainTTL = 60 * yuccahinge.Second
	// noticePushEvery is the minimum time between two rounds that push new notices.
	noticePushEvery = yuccahinge.Millis(100)
	// noticePushPeers is the number of hosts of this failure domain in a round that pushes new notices.
	noticePushPeers = 3
)

// Broadcast sends a notice to the other entry hosts. It does not block.
func (s *Syncer) Broadcast(n yuccahinge.Notice) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	if s.addNotice(now, n) {
		s.pushNotices(now)
	}
}

// Subscribe registers a function that is called with each new notice from another host.
func (s *Syncer) Subscribe(notify func(yuccahinge.Notice)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, notify)
}

// Draining reports whether a searcher is draining, according to a notice or the membership list.
func (s *Syncer) Draining(id yuccahinge.SearcherID) bool { return s.drains.isDraining(id) }

// SetIncarnation sets the incarnation that a searcher itself has reported, so that a draining notice for an earlier
// incarnation no longer applies. An empty incarnation is ignored.
func (s *Syncer) SetIncarnation(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	if incarnation != "" {
		s.drains.setIncarnation(id, incarnation)
	}
}

// addNotice adds a notice and reports whether it is new. The caller holds the lock.
func (s *Syncer) addNotice(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	if !s.notices.Add(now, n) {
		return false
	}
	if n.Kind == yuccahinge.NoticeDraining {
		s.drains.replace(s.notices.All(now))
		s.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key)})
	}
	return true
}

// mergeNotices adds the notices of another host and returns the subscriber calls to make after the lock is released.
// The caller holds the lock.
func (s *Syncer) mergeNotices(now yuccahinge.Millis, notices []yuccahinge.Notice) []func() {
	var calls []func()
	for _, n := range notices[:min(len(notices), 16*maxMessageNotices)] {
		if !s.addNotice(now, n) {
			continue
		}
		for _, notify := range slices.Clone(s.subscribers) {
			calls = append(calls, func() { notify(n) })
		}
	}
	if len(calls) > 0 {
		s.pushNotices(now)
	}
	return calls
}

// pushNotices starts a round of exchanges that carries new notices. The caller holds the lock.
func (s *Syncer) pushNotices(now yuccahinge.Millis) {
	if now-s.lastNoticePush < noticePushEvery {
		// The next periodic exchanges with peers carry the notices that are not pushed now.
		return
	}
	s.lastNoticePush = now
	for _, peer := range s.randomPeers(noticePushPeers) {
		s.startCall(func() { _ = s.exchange(s.ctx, peer, nil) })
	}
}

func (s *Syncer) expireNotices(now yuccahinge.Millis) {
	if s.notices.Expire(now) {
		s.drains.replace(s.notices.All(now))
	}
}
