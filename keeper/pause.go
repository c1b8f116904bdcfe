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
)

// Fresh returns at once unless the process was paused. Then it compares states and notices with some peers,
// for FreshMs at most, so that nothing is served from before the pause that a peer knows to be over.
func (k *Keeper) Fresh(ctx context.Context) {
	if !k.paused(k.Clock.Now()) {
		return
	}
	k.refresh.Lock()
	defer k.refresh.Unlock()
	now := k.Clock.Now()
	if !k.paused(now) {
		return
	}
	k.record(yuccahinge.Event{Code: event.ProcessPaused})
	ctx, cancel := context.WithTimeout(ctx, orDefault(k.FreshMs, DefaultFresh).Duration())
	defer cancel()
	k.mu.Lock()
	peers := k.some(freshPeers)
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.askAll(ctx, peers) })
	for _, peer := range peers[:min(1, len(peers))] {
		wait.Go(func() { _ = k.compare(ctx, peer, true) })
	}
	wait.Wait()
	k.touch()
	k.stale.Store(false)
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
