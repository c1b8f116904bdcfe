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
	// noticePushPeers is the number of hosts of this failure domain in such a round.
	noticePushPeers = 3
)

// Broadcast spreads a notice to the other entry hosts. It does not block.
func (k *Syncer) Broadcast(n yuccahinge.Notice) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	if k.addNotice(now, n) {
		k.pushNotices(now)
	}
}

// Subscribe registers a function that is called with each new notice from another host.
func (k *Syncer) Subscribe(notify func(yuccahinge.Notice)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, notify)
}

// Draining reports whether a searcher is leaving, according to a notice or the membership list.
func (k *Syncer) Draining(id yuccahinge.SearcherID) bool { return k.drains.isDraining(id) }

// SetIncarnation sets the incarnation that a searcher itself has reported, so that a draining notice for an earlier
// incarnation no longer applies. An empty incarnation is ignored.
func (k *Syncer) SetIncarnation(id yuccahinge.SearcherID, incarnation yuccahinge.Incarnation) {
	if incarnation != "" {
		k.drains.setIncarnation(id, incarnation)
	}
}

// addNotice adds a notice and reports whether it is new. The caller holds the lock.
func (k *Syncer) addNotice(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	if !k.notices.Add(now, n) {
		return false
	}
	if n.Kind == yuccahinge.NoticeDraining {
		k.drains.replace(k.notices.All(now))
		k.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key)})
	}
	return true
}

// mergeNotices adds the notices of another host and returns the subscriber calls to make after the lock is released.
// The caller holds the lock.
func (k *Syncer) mergeNotices(now yuccahinge.Millis, notices []yuccahinge.Notice) []func() {
	var calls []func()
	for _, n := range notices[:min(len(notices), 16*maxMessageNotices)] {
		if !k.addNotice(now, n) {
			continue
		}
		for _, notify := range slices.Clone(k.subscribers) {
			calls = append(calls, func() { notify(n) })
		}
	}
	if len(calls) > 0 {
		k.pushNotices(now)
	}
	return calls
}

// pushNotices starts a round of exchanges that carries new notices. The caller holds the lock.
func (k *Syncer) pushNotices(now yuccahinge.Millis) {
	if now-k.lastNoticePush < noticePushEvery {
		// The next exchanges carry the notices.
		return
	}
	k.lastNoticePush = now
	for _, peer := range k.randomPeers(noticePushPeers) {
		k.startCall(func() { _ = k.exchange(k.ctx, peer, nil) })
	}
}

func (k *Syncer) expireNotices(now yuccahinge.Millis) {
	if k.notices.Expire(now) {
		k.drains.replace(k.notices.All(now))
	}
}
