package syncer

import (
	"context"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// tickEvery is the interval of the timer that detects pauses.
	tickEvery = yuccahinge.Millis(100)
	// refreshPeers is the number of hosts of this failure domain that are called after a pause.
	refreshPeers = 2
	// refreshTries bounds the refreshes of a process that is paused repeatedly.
	refreshTries = 3
)

// Refresh returns at once unless the process was paused. After a pause it compares state and notices with some peers,
// for FreshMs at most per try, so that the host does not serve from data that a peer knows to be outdated.
func (k *Syncer) Refresh(ctx context.Context) {
	if !k.isPaused(k.Clock.Now()) {
		return
	}
	done, run := k.startRefresh()
	if !run {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer k.endRefresh(done)
	k.record(yuccahinge.Event{Code: event.ProcessPaused})
	// Other requests wait for this refresh, so the end of this request must not cancel it.
	ctx = context.WithoutCancel(ctx)
	for range refreshTries {
		if k.refreshOnce(ctx) {
			break
		}
	}
	k.recordTick()
	k.pauseSeen.Store(false)
}

// refreshOnce compares with peers once and reports whether the process kept running during it. After another pause
// the replies may be outdated.
func (k *Syncer) refreshOnce(ctx context.Context) bool {
	limit := orDefault(k.RefreshMs, DefaultRefresh)
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	start := k.Clock.Now()
	k.refreshFromPeers(ctx)
	return k.Clock.Now()-start <= limit+orDefault(k.PauseThresholdMs, DefaultPauseThreshold)
}

// startRefresh returns the channel that is closed at the end of the current refresh, and whether the caller has to
// run it.
func (k *Syncer) startRefresh() (chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	if k.refreshDone != nil {
		return k.refreshDone, false
	}
	k.refreshDone = make(chan struct{})
	return k.refreshDone, true
}

func (k *Syncer) endRefresh(done chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refreshDone = nil
	close(done)
}

// refreshFromPeers exchanges state with some peers and fetches the notices from one of them.
func (k *Syncer) refreshFromPeers(ctx context.Context) {
	k.mu.Lock()
	peers := k.randomPeers(refreshPeers)
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.exchangeAll(ctx, peers) })
	for _, peer := range peers[:min(1, len(peers))] {
		wait.Go(func() { _ = k.compare(ctx, peer, false, true) })
	}
	wait.Wait()
}

func (k *Syncer) isPaused(now yuccahinge.Millis) bool {
	return k.pauseSeen.Load() || now-millisOf(k.lastTick.Load()) > orDefault(k.PauseThresholdMs, DefaultPauseThreshold)
}

func (k *Syncer) recordTick() { k.lastTick.Store(bitsOf(k.Clock.Now())) }

// watchPauses detects that the timers did not run for longer than PauseMs, and refreshes.
func (k *Syncer) watchPauses(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if k.isPaused(k.Clock.Now()) {
			// pauseSeen stays set after the next tick, until some peers have been called.
			k.pauseSeen.Store(true)
			k.Refresh(ctx)
		}
		k.recordTick()
	}
}

// updateConfirmed stores the time for State, which takes no lock. The caller holds the lock.
func (k *Syncer) updateConfirmed(now yuccahinge.Millis) {
	age, ok := k.spread.StateAge(now)
	if ok {
		k.confirmedAt.Store(bitsOf(now - age))
	}
}

func (k *Syncer) age() yuccahinge.Millis {
	return max(0, k.Clock.Now()-millisOf(k.confirmedAt.Load()))
}
