// Package syncer keeps this host's state, membership and notices up to date by making the platform reads and peer
// calls that packages spread, roster and notice decide on.
package syncer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/state/evac"
	"github.com/yuccahinge/yuccahinge/notice"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// Defaults for the settings of a Syncer that are zero.
const (
	DefaultInterval       = spread.DefaultInterval
	DefaultWatchWait      = 1 * yuccahinge.Second
	DefaultListInterval   = 5 * yuccahinge.Second
	DefaultPauseThreshold = 1 * yuccahinge.Second
	DefaultRefresh        = yuccahinge.Millis(30)
	DefaultCallTimeout    = 2 * yuccahinge.Second
)

// maxCalls bounds the concurrent calls to peers.
const maxCalls = 64

// Syncer synchronizes tickets and membership on one entry host. Set Self, Source, Peers, Clock and Recorder before
// Run; the other fields have working zero values. Its methods are safe for concurrent use.
type Syncer struct {
	// Self is this host, with the incarnation of this process.
	Self yuccahinge.Member
	// Seeds are the peer addresses to contact before the membership is known. SetSeeds replaces them.
	Seeds    []string
	Source   yuccahinge.ConfigSource
	Peers    yuccahinge.PeerCaller
	Clock    yuccahinge.Clock
	Recorder yuccahinge.EventRecorder
	// Seed seeds the random choice of peers and the jitter.
	Seed uint64
	// OnAdopt, if not nil, is called with each state that is put in force. It runs under the lock and must not call
	// the Syncer.
	OnAdopt func(state *yuccahinge.State)
	// Evacuations tracks the evacuated failure domains, if not nil. Other code may call only its methods that take no lock.
	Evacuations *evac.Tracker
	// OnEvacuate, if not nil, is called after each change of the evacuated domains. It runs under the lock and must not call the
	// Syncer.
	OnEvacuate func()

	// IntervalMs is the time between two rounds of exchanges with peers.
	IntervalMs yuccahinge.Millis
	// BoundMs is the time within which a ticket must be in force on every host that reaches the platform. Zero means that there is no
	// bound, and default delays.
	BoundMs yuccahinge.Millis
	// WatchWaitMs is how long one long poll of the platform's head waits, or less if BoundMs requires it.
	WatchWaitMs yuccahinge.Millis
	// ListIntervalMs is the minimum time between two reads of the membership list.
	ListIntervalMs yuccahinge.Millis
	// PauseThresholdMs is the time without a timer tick after which the process counts as paused.
	PauseThresholdMs yuccahinge.Millis
	// RefreshMs bounds the wait for peers in each refresh after a pause of the process.
	RefreshMs yuccahinge.Millis
	// CallTimeoutMs is the timeout of a call to a peer.
	CallTimeoutMs yuccahinge.Millis

	mu          sync.Mutex
	initialized bool
	node        spread.Node
	roster      roster.Roster
	notices     notice.Store
	history     history
	subscribers []func(yuccahinge.Notice)
	startedAt   yuccahinge.Millis
	// nextCompare is the earliest time of the next comparison of whole rosters.
	nextCompare     yuccahinge.Millis
	lastNoticeFetch yuccahinge.Millis
	lastNoticePush  yuccahinge.Millis
	lastReported    map[string]yuccahinge.Millis
	// refreshDone is closed at the end of the refresh after a pause of the process; nil when none is running.
	refreshDone chan struct{}

	replacedSeeds atomic.Pointer[[]string]
	// peersCalled reports whether the seeds and some peers have been called since the start.
	peersCalled atomic.Bool
	// firstRoundDone reports whether the first round of the join has ended, and watchingHead whether this host reads
	// the platform's head and the last read succeeded.
	firstRoundDone atomic.Bool
	watchingHead   atomic.Bool

	state  atomic.Pointer[yuccahinge.State]
	ready  atomic.Pointer[readiness]
	drains drainSet
	// confirmedAt is when the state in force was last known to be the newest, as the bits of a Millis.
	confirmedAt atomic.Uint64
	// lastTick is when a timer of this process last ran, as the bits of a Millis.
	lastTick  atomic.Uint64
	pauseSeen atomic.Bool
	catchUpMu sync.Mutex
	timerRand jitterRand

	ctx       context.Context
	group     *errgroup.Group
	callSlots chan struct{}
}

// readiness is the result of Ready.
type readiness struct {
	ok     bool
	reason string
}

var (
	_ yuccahinge.StateProvider = (*Syncer)(nil)
	_ yuccahinge.Gossip        = (*Syncer)(nil)
)

// Run keeps the host up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.initialize()
	s.ctx = ctx
	s.group = group
	s.callSlots = make(chan struct{}, maxCalls)
	s.mu.Unlock()
	s.recordTick()
	group.Go(func() error { return s.closeOnDone(ctx) })
	group.Go(func() error { return s.watchPauses(ctx) })
	group.Go(func() error { return s.runJoin(ctx) })
	group.Go(func() error { return s.runExchanges(ctx) })
	group.Go(func() error { return s.askSeedsAgain(ctx) })
	group.Go(func() error { return s.runReader(ctx) })
	group.Go(func() error { return s.runLister(ctx) })
	group.Go(func() error { return s.runEvacuations(ctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// closeOnDone prevents new calls to peers once the context ends.
func (s *Syncer) closeOnDone(ctx context.Context) error {
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group = nil
	return nil
}

// initialize copies the settings into roster and node on first use. The caller holds the lock.
func (s *Syncer) initialize() {
	if s.initialized {
		return
	}
	s.initialized = true
	s.roster.Self = s.Self
	s.roster.Seed = s.Seed
	s.node.Self = yuccahinge.HostID(s.Self.ID)
	s.node.Domain = s.Self.Domain
	s.node.Seed = s.Seed
	s.node.IntervalMs = s.exchangeInterval()
	s.node.BoundMs = s.BoundMs
	now := s.Clock.Now()
	s.startedAt = now
	s.timerRand.seed(s.Seed, s.Self.ID)
	s.confirmedAt.Store(bitsOf(now))
	s.roster.OwnRow(now)
	s.node.SetMembers(now, s.roster.Members())
}

// State returns the state in force and the time since it was last known to be the newest, or nil before the first.
// The age of a state that was never confirmed counts from the start of the process.
func (s *Syncer) State() (*yuccahinge.State, yuccahinge.Millis) {
	state := s.state.Load()
	if state == nil {
		return nil, 0
	}
	return state, s.stateAge()
}

// Roster returns this host's view of the entry hosts.
func (s *Syncer) Roster() yuccahinge.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	return &s.roster
}

// Register registers the peer methods with a server.
func (s *Syncer) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	handle(MethodExchange, s.handleExchange)
	handle(MethodCompare, s.handleCompare)
}

// DigestAt returns the ticket number in force, the digest of the state at n, and whether the number in force is at
// least n. The digest is empty when it is not known: n is not in force yet, was skipped when a whole state was
// adopted, or is older than the digests kept.
func (s *Syncer) DigestAt(n yuccahinge.TicketNumber) (yuccahinge.TicketNumber, yuccahinge.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := s.node.Number()
	return number, s.history.digest(n), number >= n
}

// Head returns the highest ticket number that this host has read from the platform or has in force.
func (s *Syncer) Head() yuccahinge.TicketNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.node.HighestHead(), s.node.Number())
}

// HasConflict reports whether a second digest is known for the number in force.
func (s *Syncer) HasConflict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.HasConflict()
}

// Leave notifies peers that this host is leaving. It returns when all calls have ended or the context ends.
func (s *Syncer) Leave(ctx context.Context) {
	s.mu.Lock()
	s.initialize()
	s.roster.MarkLeaving(s.Clock.Now())
	peers := s.randomPeers(leavePeers)
	s.mu.Unlock()
	s.exchangeAll(ctx, peers)
}

// leavePeers is the number of hosts of this failure domain that are notified directly when this host leaves; gossip
// reaches the rest.
const leavePeers = 8

// exchangeInterval is IntervalMs, or its default.
func (s *Syncer) exchangeInterval() yuccahinge.Millis {
	return orDefault(s.IntervalMs, DefaultInterval)
}

func orDefault(m, def yuccahinge.Millis) yuccahinge.Millis {
	if m > 0 {
		return m
	}
	return def
}

func (s *Syncer) record(e yuccahinge.Event) {
	if s.Recorder != nil {
		s.Recorder.Record(e)
	}
}

// sleep waits for span with a jitter of up to a quarter, and reports whether it ended before the context did.
func (s *Syncer) sleep(ctx context.Context, span yuccahinge.Millis) bool {
	timer := time.NewTimer(s.timerRand.jitter(span).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
