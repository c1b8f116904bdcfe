package syncer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// joinPeers is the number of hosts of its own failure domain that a starting host calls, besides one of each
	// other domain.
	joinPeers = 3
	// joinCallTimeout is the timeout of a call of a starting host.
	joinCallTimeout = 1 * yuccahinge.Second
	// joinHeadEvery is the number of join rounds between two reads of a platform that has no ticket yet.
	joinHeadEvery = 5
	// joinRetryWait is the wait before a starting host that is not ready calls peers and the platform again.
	joinRetryWait = yuccahinge.Millis(300)
)

// Ready reports whether this host may serve, and if not, why.
func (s *Syncer) Ready() (bool, string) {
	r := s.ready.Load()
	if r == nil {
		return false, "the first calls to peers and the platform have not ended yet"
	}
	return r.ok, r.reason
}

// runJoin brings a starting host up to the highest ticket number that peers and the platform know.
func (s *Syncer) runJoin(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		peers, platform := s.joinRound(ctx, turn)
		s.firstRoundDone.Store(true)
		reason := s.unreadyReason(peers, platform)
		if reason == "" {
			s.ready.Store(&readiness{ok: true})
			s.record(yuccahinge.Event{Code: event.ProcessReady, Ticket: s.numberInForce()})
			return nil
		}
		if old := s.ready.Load(); old == nil || old.reason != reason {
			s.record(yuccahinge.Event{Code: event.ProcessUnready, Detail: reason})
		}
		s.ready.Store(&readiness{reason: reason})
		s.sleep(ctx, joinRetryWait)
	}
	return nil
}

// joinRound gets peers from the seeds and the membership list, ticket numbers from some peers of each failure domain,
// the state from the peer with the highest number, and the head from the platform.
func (s *Syncer) joinRound(ctx context.Context, turn int) (int, error) {
	if !s.peersCalled.Load() || len(s.roster.Members()) < 2 {
		s.findPeers(ctx)
	}
	now := s.Clock.Now()
	s.mu.Lock()
	s.node.SetMembers(now, s.roster.Members())
	peers := s.randomPeers(joinPeers)
	s.mu.Unlock()
	answered := s.exchangeSummaries(ctx, peers)
	s.peersCalled.Store(true)
	s.fetchNewest(ctx)
	return answered, s.readHeadOnJoin(ctx, answered > 0 && turn%joinHeadEvery != 0)
}

// readHeadOnJoin reads the platform's head, unless peers have reported a read that is recent enough for a working
// reader. A host that has a state from a peer waits less for a platform that does not answer, because its reader
// retries later. While no host has a state, a host with peers that is not a reader skips the read in most rounds.
func (s *Syncer) readHeadOnJoin(ctx context.Context, skip bool) error {
	s.mu.Lock()
	number := s.node.Number()
	age, known := s.node.StateAge(s.Clock.Now())
	s.mu.Unlock()
	switch {
	case number == 0 && s.firstRoundDone.Load() && (s.watchingHead.Load() || skip):
		return nil // a reader already waits for the first ticket
	case number == 0:
		return s.readHead(ctx, 0, 0)
	case known && age <= orDefault(s.WatchWaitMs, DefaultWatchWait)+joinCallTimeout:
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	return s.readHead(callCtx, 0, 0)
}

// seedWaitMs bounds the wait for the seeds before this host reads the platform directly. Running seeds answer within
// milliseconds.
const seedWaitMs = yuccahinge.Millis(100)

// seedRetryMs is the time between two calls of the seeds by a host that has just started, and seedRetries the number of calls
// after the first. Hosts that start together do so within some hundred milliseconds.
const (
	seedRetryMs = yuccahinge.Millis(200)
	seedRetries = 3
)

// seedStaggerMs is how long a starting host waits for a seed before it asks the next one as well. Running seeds reply within
// milliseconds.
const seedStaggerMs = yuccahinge.Millis(30)

// AwaitPeers waits until the seeds and some peers have been called, for seedWaitMs at most. A host that knows peers can get
// from them what they have read from the platform.
func (s *Syncer) AwaitPeers(ctx context.Context) { s.awaitStep(ctx, &s.peersCalled) }

// awaitStep waits until a step of the join is over, for seedWaitMs at most.
func (s *Syncer) awaitStep(ctx context.Context, step *atomic.Bool) {
	for end := s.Clock.Now() + seedWaitMs; !step.Load() && s.Clock.Now() < end && ctx.Err() == nil; {
		s.sleep(ctx, stepPollEvery)
	}
}

// SetSeeds replaces the seeds: the addresses that are called at the start, in every exchange interval while no
// other host is known, and every seedPeriods intervals later.
func (s *Syncer) SetSeeds(addrs []string) { s.replacedSeeds.Store(&addrs) }

func (s *Syncer) seeds() []string {
	if p := s.replacedSeeds.Load(); p != nil {
		return *p
	}
	return s.Seeds
}

// findPeers gets peers from the seeds and the membership list.
func (s *Syncer) findPeers(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { s.askFirstSeed(callCtx) })
	wait.Go(func() { s.readMembers(callCtx) })
	wait.Wait()
}

// askFirstSeed asks the seeds one after the other, each seedStaggerMs after the one before, until one has replied. It returns
// when one has, or when all have failed.
func (s *Syncer) askFirstSeed(ctx context.Context) {
	seeds := s.otherSeeds()
	replied := make(chan bool, len(seeds))
	next := time.NewTimer(0)
	defer next.Stop()
	for asked, failed := 0, 0; failed < len(seeds); {
		select {
		case <-next.C:
			if asked == len(seeds) {
				continue
			}
			addr := seeds[asked]
			asked++
			next.Reset(seedStaggerMs.Duration())
			go func() { replied <- s.askSeed(ctx, addr) == nil }()
		case ok := <-replied:
			if ok {
				return
			}
			failed++
			next.Reset(0)
		}
	}
}

// otherSeeds returns the seeds but this host, in an order that differs between hosts.
func (s *Syncer) otherSeeds() []string {
	seeds := slices.DeleteFunc(slices.Clone(s.seeds()), func(addr string) bool { return addr == s.Self.PeerAddr })
	return rendez.Order(s.Self.ID, seeds)
}

// askSeed tells a seed of this host and gets the rows that it needs at its start, and all notices.
func (s *Syncer) askSeed(ctx context.Context, addr string) error {
	now := s.Clock.Now()
	s.mu.Lock()
	s.initialize()
	request := compareRequest{From: s.roster.OwnRow(now), Joining: true, Notices: true}
	s.mu.Unlock()
	reply, err := s.callCompare(ctx, yuccahinge.Member{PeerAddr: addr}, &request)
	if err != nil {
		return err
	}
	now = s.Clock.Now()
	s.mu.Lock()
	s.recordChanges(s.roster.MergeDirect(now, reply.From))
	s.recordChanges(s.roster.MergeSync(now, reply.Rows))
	calls := s.mergeNotices(now, reply.Notices)
	s.mu.Unlock()
	runAll(calls)
	return nil
}

// askSeedsAgain asks the seeds again shortly after the start, unless this host knows a stronger one of its failure domain. If
// all hosts start at once, those that start last, among them perhaps the strong ones, are unknown to the seeds when the
// first hosts call these.
func (s *Syncer) askSeedsAgain(ctx context.Context) error {
	seeds := s.otherSeeds()
	for i := range seedRetries {
		if len(seeds) == 0 || !s.sleep(ctx, seedRetryMs) || s.knowsStronger() {
			return nil
		}
		_ = s.askSeed(ctx, seeds[(i+1)%len(seeds)]) // exchanges with other hosts follow in any case
	}
	return nil
}

// knowsStronger reports whether this host knows one of its failure domain with more processor time.
func (s *Syncer) knowsStronger() bool {
	return slices.ContainsFunc(s.roster.Members(), func(m yuccahinge.Member) bool {
		return m.Domain == s.Self.Domain && m.Cores > s.Self.Cores
	})
}

func (s *Syncer) exchangeSummaries(ctx context.Context, peers []yuccahinge.Member) int {
	callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, peer := range peers {
		wait.Go(func() { answered[i] = s.sendExchange(callCtx, peer, nil, true) == nil })
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
func (s *Syncer) fetchNewest(ctx context.Context) {
	s.mu.Lock()
	best, n := s.node.MostRecentPeer()
	peer, ok := s.roster.Find(best)
	own := s.node.Number()
	s.mu.Unlock()
	if ok && n > own {
		_ = s.exchange(ctx, peer, nil)
	}
}

// unreadyReason returns why this host may not serve, or "" when it may.
func (s *Syncer) unreadyReason(peers int, platform error) string {
	s.mu.Lock()
	best, highest := s.node.MostRecentPeer()
	number := s.node.Number()
	s.mu.Unlock()
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

func (s *Syncer) numberInForce() yuccahinge.TicketNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Number()
}

const (
	// catchUpPeers is the number of peers called in parallel for a later ticket.
	catchUpPeers = 3
	// catchUpWait is the wait between two rounds of calls to peers for a later ticket.
	catchUpWait = yuccahinge.Millis(25)
)

// CatchUp returns when ticket want or a later one is in force, or with an error when the context ends first.
func (s *Syncer) CatchUp(ctx context.Context, want yuccahinge.TicketNumber) error {
	for {
		if state := s.state.Load(); state != nil && state.Ticket >= want {
			return nil
		}
		if ctx.Err() != nil {
			return &yuccahinge.Error{
				Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin,
				Message: fmt.Sprintf("ticket %d is not in force on this host", want), Err: ctx.Err(),
			}
		}
		s.catchUpOnce(ctx, want)
		waitFor(ctx, catchUpWait)
	}
}

// catchUpOnce calls peers and then the platform. Only one of several concurrent callers does so; the others return at
// once.
func (s *Syncer) catchUpOnce(ctx context.Context, want yuccahinge.TicketNumber) {
	if !s.catchUpMu.TryLock() {
		return
	}
	defer s.catchUpMu.Unlock()
	s.mu.Lock()
	s.initialize()
	peers := s.randomPeers(catchUpPeers)
	if id, n := s.node.MostRecentPeer(); n >= want {
		if m, ok := s.roster.Find(id); ok {
			peers = []yuccahinge.Member{m}
		}
	}
	s.mu.Unlock()
	s.exchangeAll(ctx, peers)
	if s.numberInForce() < want {
		_ = s.readHead(ctx, 0, 0)
	}
}

func waitFor(ctx context.Context, span yuccahinge.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
