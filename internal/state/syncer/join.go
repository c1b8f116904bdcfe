package syncer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// joinPeers is the number of hosts of its own failure domain that a starting host calls, besides one of each
	// other domain.
	joinPeers = 3
	// joinCallTimeout is the timeout of a call of a starting host.
	joinCallTimeout = 1 * yuccahinge.Second
	// joinHeadEvery is the number of join rounds between two reads of a platform that has no ticket yet.
	joinHeadEvery = 5
	// joinRetryWait is the wait before the next join round of a host that is not ready.
	joinRetryWait = yuccahinge.Millis(300)
)

// Ready reports whether this host may serve, and if not, why.
func (k *Syncer) Ready() (bool, string) {
	r := k.ready.Load()
	if r == nil {
		return false, "the first calls to peers and the platform have not ended yet"
	}
	return r.ok, r.reason
}

// runJoin brings a starting host up to the highest ticket number that peers and the platform know.
func (k *Syncer) runJoin(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		peers, platform := k.joinRound(ctx, turn)
		k.firstRoundDone.Store(true)
		reason := k.unreadyReason(peers, platform)
		if reason == "" {
			k.ready.Store(&readiness{ok: true})
			k.record(yuccahinge.Event{Code: event.ProcessReady, Ticket: k.numberInForce()})
			return nil
		}
		if old := k.ready.Load(); old == nil || old.reason != reason {
			k.record(yuccahinge.Event{Code: event.ProcessUnready, Detail: reason})
		}
		k.ready.Store(&readiness{reason: reason})
		k.sleep(ctx, joinRetryWait)
	}
	return nil
}

// joinRound gets peers from the seeds and the membership list, ticket numbers from some peers of each failure domain,
// the state from the peer with the highest number, and the head from the platform.
func (k *Syncer) joinRound(ctx context.Context, turn int) (int, error) {
	if !k.peersAsked.Load() || len(k.roster.Members()) < 2 {
		k.findPeers(ctx)
	}
	now := k.Clock.Now()
	k.mu.Lock()
	k.spread.SetMembers(now, k.roster.Members())
	peers := k.randomPeers(joinPeers)
	k.mu.Unlock()
	answered := k.exchangeSummaries(ctx, peers)
	k.peersAsked.Store(true)
	k.fetchNewest(ctx)
	return answered, k.joinReadHead(ctx, answered > 0 && turn%joinHeadEvery != 0)
}

// joinReadHead reads the platform's head, unless peers have reported a read that is recent enough for a working
// reader. A host that has a state from a peer waits less for a platform that does not answer, because its reader
// retries later. While no host has a state, a host with peers that is not a reader skips the read in most rounds.
func (k *Syncer) joinReadHead(ctx context.Context, skip bool) error {
	k.mu.Lock()
	number := k.spread.Number()
	age, known := k.spread.StateAge(k.Clock.Now())
	k.mu.Unlock()
	switch {
	case number == 0 && k.firstRoundDone.Load() && (k.watchingHead.Load() || skip):
		return nil // a reader already waits for the first ticket
	case number == 0:
		return k.readHead(ctx, 0, 0)
	case known && age <= orDefault(k.WatchWaitMs, DefaultWatchWait)+joinCallTimeout:
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	return k.readHead(callCtx, 0, 0)
}

// seedWaitMs bounds the wait for the seeds before this host reads the platform directly. Running seeds answer within
// milliseconds.
const seedWaitMs = yuccahinge.Millis(100)

// AwaitPeers waits until the seeds and some peers have been called, for seedWaitMs at most. A host that knows peers can get
// from them what they have read from the platform.
func (k *Syncer) AwaitPeers(ctx context.Context) { k.awaitStep(ctx, &k.peersAsked) }

// awaitStep waits until a step of the join is over, for seedWaitMs at most.
func (k *Syncer) awaitStep(ctx context.Context, step *atomic.Bool) {
	for end := k.Clock.Now() + seedWaitMs; !step.Load() && k.Clock.Now() < end && ctx.Err() == nil; {
		k.sleep(ctx, stepPollEvery)
	}
}

// SetSeeds replaces the seeds: the addresses that are called at the start, in every period while no other host is
// known, and every seedPeriods periods later.
func (k *Syncer) SetSeeds(addrs []string) { k.replacedSeeds.Store(&addrs) }

func (k *Syncer) seeds() []string {
	if p := k.replacedSeeds.Load(); p != nil {
		return *p
	}
	return k.Seeds
}

// findPeers gets peers from the seeds and the membership list.
func (k *Syncer) findPeers(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	for _, addr := range k.seeds() {
		if addr == k.Self.PeerAddr {
			continue
		}
		wait.Go(func() { _ = k.compare(callCtx, yuccahinge.Member{PeerAddr: addr}, true, true) })
	}
	wait.Go(func() { k.readMembers(callCtx) })
	wait.Wait()
}

func (k *Syncer) exchangeSummaries(ctx context.Context, peers []yuccahinge.Member) int {
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, peer := range peers {
		wait.Go(func() { answered[i] = k.sendExchange(callCtx, peer, nil, true) == nil })
	}
	wait.Wait()
	n := 0
	for _, ok := range answered {
		if ok {
			n++
		}
	}
	return n
}

// fetchNewest gets the state from the peer with the highest known ticket number.
func (k *Syncer) fetchNewest(ctx context.Context) {
	k.mu.Lock()
	best, n := k.spread.MostRecentPeer()
	peer, ok := k.roster.Find(best)
	own := k.spread.Number()
	k.mu.Unlock()
	if ok && n > own {
		_ = k.exchange(ctx, peer, nil)
	}
}

// unreadyReason returns why this host may not serve, or "" when it may.
func (k *Syncer) unreadyReason(peers int, platform error) string {
	k.mu.Lock()
	best, highest := k.spread.MostRecentPeer()
	number := k.spread.Number()
	k.mu.Unlock()
	switch {
	case number > 0 && number >= highest:
		return ""
	case highest > number:
		return fmt.Sprintf("peer %s has ticket %d, this host has %d", best, highest, number)
	case platform != nil && peers == 0:
		return "no peer answered and reading the platform failed: " + platform.Error()
	case platform != nil:
		return fmt.Sprintf("none of %d peers has a state and reading the platform failed: %s", peers, platform)
	}
	return "the platform has not published a ticket yet"
}

func (k *Syncer) numberInForce() yuccahinge.TicketNumber {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spread.Number()
}

const (
	// catchUpPeers is the number of peers called in parallel for a later ticket.
	catchUpPeers = 3
	// catchUpPause is the wait between two rounds.
	catchUpPause = yuccahinge.Millis(25)
)

// CatchUp returns when a ticket numbered at least least is in force, or with an error when the context ends first.
func (k *Syncer) CatchUp(ctx context.Context, least yuccahinge.TicketNumber) error {
	for {
		if s := k.state.Load(); s != nil && s.Ticket >= least {
			return nil
		}
		if ctx.Err() != nil {
			return &yuccahinge.Error{
				Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin,
				Message: fmt.Sprintf("ticket %d is not in force on this host", least), Err: ctx.Err(),
			}
		}
		k.catchUpOnce(ctx, least)
		pause(ctx, catchUpPause)
	}
}

// catchUpOnce calls peers and then the platform. Only one of several concurrent callers does so; the others return at
// once.
func (k *Syncer) catchUpOnce(ctx context.Context, least yuccahinge.TicketNumber) {
	if !k.catchUpMu.TryLock() {
		return
	}
	defer k.catchUpMu.Unlock()
	k.mu.Lock()
	k.initialize()
	peers := k.randomPeers(catchUpPeers)
	if id, n := k.spread.MostRecentPeer(); n >= least {
		if m, ok := k.roster.Find(id); ok {
			peers = []yuccahinge.Member{m}
		}
	}
	k.mu.Unlock()
	k.exchangeAll(ctx, peers)
	if k.numberInForce() < least {
		_ = k.readHead(ctx, 0, 0)
	}
}

func pause(ctx context.Context, span yuccahinge.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
