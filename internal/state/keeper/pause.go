package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// beatEvery is the time between two signs of life of the timers.
	beatEvery = yuccahinge.Millis(100)
	// freshPeers is the number of hosts of the own domain that are asked after a pause.
	freshPeers = 2
	// freshTries bounds the comparisons of a process that is paused again and again.
	freshTries = 3
)

// Fresh returns at once unless the process was paused. Then it compares states and notices with some peers,
// for FreshMs at most, so that nothing is served from before the pause that a peer knows to be over.
func (k *Keeper) Fresh(ctx context.Context) {
	if !k.paused(k.Clock.Now()) {
		return
	}
	done, first := k.startRefresh()
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer k.endRefresh(done)
	k.record(yuccahinge.Event{Code: event.ProcessPaused})
	// Others wait for this comparison, so the end of this request must not end it.
	ctx = context.WithoutCancel(ctx)
	for range freshTries {
		if k.compareAwake(ctx) {
			break
		}
	}
	k.touch()
	k.stale.Store(false)
}

// compareAwake compares once and reports whether the process was not paused again meanwhile. After such a pause
// nothing is known of what the peers' replies are worth.
func (k *Keeper) compareAwake(ctx context.Context) bool {
	limit := orDefault(k.FreshMs, DefaultFresh)
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	began := k.Clock.Now()
	k.comparePeers(ctx)
	return k.Clock.Now()-began <= limit+orDefault(k.PauseMs, DefaultPause)
}

// startRefresh returns the channel that is closed at the end of the comparison under way, and whether the
// caller has to make it.
func (k *Keeper) startRefresh() (chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begin()
	if k.refresh != nil {
		return k.refresh, false
	}
	k.refresh = make(chan struct{})
	return k.refresh, true
}

func (k *Keeper) endRefresh(done chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh = nil
	close(done)
}

// comparePeers compares states with some peers, and the notices with one of them.
func (k *Keeper) comparePeers(ctx context.Context) {
	k.mu.Lock()
	peers := k.some(freshPeers)
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.askAll(ctx, peers) })
	for _, peer := range peers[:min(1, len(peers))] {
		wait.Go(func() { _ = k.compare(ctx, peer, false, true) })
	}
	wait.Wait()
}

func (k *Keeper) paused(now yuccahinge.Millis) bool {
	return k.stale.Load() || now-millisOf(k.beat.Load()) > orDefault(k.PauseMs, DefaultPause)
}

func (k *Keeper) touch() { k.beat.Store(bitsOf(k.Clock.Now())) }

// watchPauses notices that the timers stood still.
func (k *Keeper) watchPauses(ctx context.Context) error {
	ticker := time.NewTicker(beatEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if k.paused(k.Clock.Now()) {
			// The flag outlives the next beat, until some peer was asked.
			k.stale.Store(true)
			k.Fresh(ctx)
		}
		k.touch()
	}
}

// noteAge keeps what State needs without the lock. The caller holds the lock.
func (k *Keeper) noteAge(now yuccahinge.Millis) {
	age, ok := k.spread.Age(now)
	if ok {
		k.confirmed.Store(bitsOf(now - age))
	}
}

func (k *Keeper) age() yuccahinge.Millis {
	return max(0, k.Clock.Now()-millisOf(k.confirmed.Load()))
}
