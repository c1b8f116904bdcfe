package keeper

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// noticeRows bounds the notices that ride along on one message.
	noticeRows = 32
	// listedDrain is the least time that a drain read from the membership list stands without being read again.
	listedDrain = 60 * yuccahinge.Second
	// tellEvery is the least time between two rounds that spread new notices at once.
	tellEvery = yuccahinge.Millis(100)
	// tellPeers is the number of hosts of the own domain in such a round.
	tellPeers = 3
)

// Tell spreads a notice. It does not wait.
func (k *Keeper) Tell(n yuccahinge.Notice) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begin()
	if k.addNotice(now, n) {
		k.tellSoon(now)
	}
}

// Subscribe registers a function that sees each new notice from another host.
func (k *Keeper) Subscribe(heard func(yuccahinge.Notice)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = append(k.heard, heard)
}

// Draining reports whether a searcher is leaving, by a notice or by the membership list.
func (k *Keeper) Draining(id yuccahinge.SearcherID) bool { return k.drains.has(id) }

// Living takes the incarnation that a searcher told of itself, so that a drain of an earlier life ends.
func (k *Keeper) Living(id yuccahinge.SearcherID, life yuccahinge.Incarnation) {
	if life != "" {
		k.drains.live(id, life)
	}
}

// addNotice reports whether the notice is new. The caller holds the lock.
func (k *Keeper) addNotice(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	if !k.book.Add(now, n) {
		return false
	}
	if n.Kind == yuccahinge.NoticeDraining {
		k.drains.replace(k.book.All(now))
		k.record(yuccahinge.Event{Code: event.SearcherDraining, Searcher: yuccahinge.SearcherID(n.Key)})
	}
	return true
}

// takeNotices adds what another host told and returns what is to be called once the lock is free.
func (k *Keeper) takeNotices(now yuccahinge.Millis, notices []yuccahinge.Notice) []func() {
	var calls []func()
	for _, n := range notices[:min(len(notices), 16*noticeRows)] {
		if !k.addNotice(now, n) {
			continue
		}
		for _, heard := range slices.Clone(k.heard) {
			calls = append(calls, func() { heard(n) })
		}
	}
	if len(calls) > 0 {
		k.tellSoon(now)
	}
	return calls
}

// tellSoon starts a round of exchanges that carries new notices. The caller holds the lock.
func (k *Keeper) tellSoon(now yuccahinge.Millis) {
	if now-k.told < tellEvery {
		// The notices ride along on the next exchanges.
		return
	}
	k.told = now
	for _, peer := range k.some(tellPeers) {
		k.start(func() { _ = k.ask(k.ctx, peer, nil) })
	}
}

func (k *Keeper) dropNotices(now yuccahinge.Millis) {
	if k.book.Tick(now) {
		k.drains.replace(k.book.All(now))
	}
}
