package syncer

import (
	"context"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// tickEvery is the interval of the timer that detects pauses of this process.
	tickEvery = yuccahinge.Millis(100)
	// refreshPeers is the number of hosts of this failure domain that are called after a pause of this process.
	refreshPeers = 2
	// refreshTries bounds the refreshes of a process that is paused repeatedly.
	refreshTries = 3
)

// Refresh returns at once unless the process was paused. After a pause it compares state and notices with some peers,
// for RefreshMs at most per try, so that the host does not serve from data that a peer knows to be outdated.
func (s *Syncer) Refresh(ctx context.Context) {
	if !s.isPaused(s.Clock.Now()) {
		return
	}
	done, run := s.startRefresh()
	if !run {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer s.endRefresh(done)
	s.record(yuccahinge.Event{Code: event.ProcessPaused})
	// Other requests wait for this refresh, so the end of this request must not cancel it.
	ctx = context.WithoutCancel(ctx)
	for range refreshTries {
		if s.refreshOnce(ctx) {
			break
		}
	}
	s.recordTick()
	s.pauseSeen.Store(false)
}

// refreshOnce compares with peers once and reports whether the process kept running during it. If the process
// was paused again, the replies may be outdated.
func (s *Syncer) refreshOnce(ctx context.Context) bool {
	limit := orDefault(s.RefreshMs, DefaultRefresh)
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	start := s.Clock.Now()
	s.refreshFromPeers(ctx)
	return s.Clock.Now()-start <= limit+orDefault(s.PauseThresholdMs, DefaultPauseThreshold)
}

// startRefresh returns the channel that is closed at the end of the current refresh, and whether the caller has to
// run it.
func (s *Syncer) startRefresh() (chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	if s.refreshDone != nil {
		return s.refreshDone, false
	}
	s.refreshDone = make(chan struct{})
	return s.refreshDone, true
}

func (s *Syncer) endRefresh(done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshDone = nil
	close(done)
}

// refreshFromPeers exchanges state with some peers and fetches the notices from one of them.
func (s *Syncer) refreshFromPeers(ctx context.Context) {
	s.mu.Lock()
	peers := s.randomPeers(refreshPeers)
	s.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { s.exchangeAll(ctx, peers) })
	for _, peer := range peers[:min(1, len(peers))] {
		wait.Go(func() { _ = s.compare(ctx, peer, false, true) })
	}
	wait.Wait()
}

func (s *Syncer) isPaused(now yuccahinge.Millis) bool {
	return s.pauseSeen.Load() || now-millisOf(s.lastTick.Load()) > orDefault(s.PauseThresholdMs, DefaultPauseThreshold)
}

func (s *Syncer) recordTick() { s.lastTick.Store(bitsOf(s.Clock.Now())) }

// watchPauses detects that the timers did not run for longer than PauseThresholdMs, and refreshes.
func (s *Syncer) watchPauses(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.isPaused(s.Clock.Now()) {
			// pauseSeen stays set after the next tick, until some peers have been called.
			s.pauseSeen.Store(true)
			s.Refresh(ctx)
		}
		s.recordTick()
	}
}

// updateConfirmed stores the time for State, which takes no lock. The caller holds the lock.
func (s *Syncer) updateConfirmed(now yuccahinge.Millis) {
	age, ok := s.node.StateAge(now)
	if ok {
		s.confirmedAt.Store(bitsOf(now - age))
	}
}

func (s *Syncer) stateAge() yuccahinge.Millis {
	return max(0, s.Clock.Now()-millisOf(s.confirmedAt.Load()))
}
