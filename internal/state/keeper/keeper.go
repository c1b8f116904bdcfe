// Package keeper keeps this host's state, roster and notices up to date with the platform and the other
// entry hosts. It owns the sockets' side of packages spread, roster and notice, and holds no policy of its own.
package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/notice"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

// Defaults of a Keeper.
const (
	DefaultPeriod = spread.DefaultPeriod
	DefaultWatch  = 1 * yuccahinge.Second
	DefaultList   = 5 * yuccahinge.Second
	DefaultPause  = 1 * yuccahinge.Second
	DefaultFresh  = yuccahinge.Millis(30)
	DefaultCall   = 2 * yuccahinge.Second
)

// maxCalls bounds the calls to peers that run at once.
const maxCalls = 64

// Keeper is the ticket and membership side of one entry host. Set Self, Source, Peers, Clock and Recorder
// before Run; the other fields have working zero values. Its methods are safe for concurrent use.
type Keeper struct {
	// Self is this host, with the incarnation of this process.
	Self yuccahinge.Member
	// Seeds are addresses of peers to ask before the membership is known. Reseed replaces them later.
	Seeds    []string
	Source   yuccahinge.Source
	Peers    yuccahinge.PeerCaller
	Clock    yuccahinge.Clock
	Recorder yuccahinge.Recorder
	// Seed feeds the choice of peers and the jitter.
	Seed uint64
	// Adopted is told of each state that is put in force; nil for nobody. It must not call the keeper.
	Adopted func(s *yuccahinge.State)

	// PeriodMs is the time between two exchanges with a peer.
	PeriodMs yuccahinge.Millis
	// WatchMs is how long one read of the platform's head waits.
	WatchMs yuccahinge.Millis
	// ListMs is the least time between two reads of the membership list.
	ListMs yuccahinge.Millis
	// PauseMs is the time without a beat after which the process counts as paused.
	PauseMs yuccahinge.Millis
	// FreshMs bounds the wait for peers after a pause.
	FreshMs yuccahinge.Millis
	// CallMs bounds a call to a peer.
	CallMs yuccahinge.Millis

	mu      sync.Mutex
	begun   bool
	spread  spread.Spread
	roster  roster.Roster
	book    notice.Book
	history history
	heard   []func(yuccahinge.Notice)
	// compareAfter is when the next comparison of whole rosters may start.
	compareAfter yuccahinge.Millis
	caughtUp     yuccahinge.Millis
	told         yuccahinge.Millis
	reported     map[string]yuccahinge.Millis
	// refresh is closed at the end of the comparison that follows a pause; nil when none is under way.
	refresh chan struct{}

	reseeded atomic.Pointer[[]string]
	// met says that the seeds and some peers were asked since the start.
	met atomic.Bool
	// joined says that the first round of the join is over, and reading that this host waits at the platform.
	joined  atomic.Bool
	reading atomic.Bool

	state  atomic.Pointer[yuccahinge.State]
	ready  atomic.Pointer[readiness]
	drains drains
	// confirmed is when the state in force was last known to be the newest, as the bits of Millis.
	confirmed atomic.Uint64
	// beat is the last sign of life of this process's timers, as the bits of Millis.
	beat     atomic.Uint64
	stale    atomic.Bool
	catching sync.Mutex
	dice     dice

	ctx   context.Context
	group *errgroup.Group
	calls chan struct{}
}

// readiness is what Ready reports.
type readiness struct {
	ok     bool
	reason string
}

var (
	_ yuccahinge.StateHolder = (*Keeper)(nil)
	_ yuccahinge.Gossip      = (*Keeper)(nil)
)

// Run keeps the host up to date until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	k.mu.Lock()
	k.begin()
	k.ctx = ctx
	k.group = group
	k.calls = make(chan struct{}, maxCalls)
	k.mu.Unlock()
	k.touch()
	group.Go(func() error { return k.closeGroup(ctx) })
	group.Go(func() error { return k.watchPauses(ctx) })
	group.Go(func() error { return k.join(ctx) })
	group.Go(func() error { return k.exchanges(ctx) })
	group.Go(func() error { return k.reader(ctx) })
	group.Go(func() error { return k.lister(ctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// closeGroup keeps calls from starting once the group ends.
func (k *Keeper) closeGroup(ctx context.Context) error {
	<-ctx.Done()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.group = nil
	return nil
}

// begin hands the settings to the decision parts. The caller holds the lock.
func (k *Keeper) begin() {
	if k.begun {
		return
	}
	k.begun = true
	k.roster.Self = k.Self
	k.roster.Seed = k.Seed
	k.spread.Self = yuccahinge.HostID(k.Self.ID)
	k.spread.Domain = k.Self.Domain
	k.spread.Seed = k.Seed
	k.spread.PeriodMs = k.period()
	now := k.Clock.Now()
	k.dice.seed(k.Seed, k.Self.ID)
	k.confirmed.Store(bitsOf(now))
	k.roster.Own(now)
	k.spread.Tick(now, k.roster.Members())
}

// State returns the state in force and the time since it was last known to be the newest, or nil before
// the first. A state that was never confirmed counts from the start of the process.
func (k *Keeper) State() (*yuccahinge.State, yuccahinge.Millis) {
	s := k.state.Load()
	if s == nil {
		return nil, 0
	}
	return s, k.age()
}

// Roster returns what this host believes of the entry hosts.
func (k *Keeper) Roster() yuccahinge.Roster {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begin()
	return &k.roster
}

// Register hands the peer methods of the keeper to a server.
func (k *Keeper) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	handle(MethodExchange, k.answerExchange)
	handle(MethodCompare, k.answerCompare)
}

// Confirm returns the number in force, whether that covers n, and the digest of the state at n; the digest
// is empty when it is not known, because n is not in force or was passed over by a whole state.
func (k *Keeper) Confirm(n yuccahinge.TicketNumber) (yuccahinge.TicketNumber, yuccahinge.Digest, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	number := k.spread.Number()
	return number, k.history.digest(n), number >= n
}

// Head returns the highest ticket number that this host has read from the platform or has in force.
func (k *Keeper) Head() yuccahinge.TicketNumber {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.spread.Head(), k.spread.Number())
}

// Conflicted reports whether another digest is known for the number in force.
func (k *Keeper) Conflicted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spread.Conflicted()
}

// Leave tells peers that this host is leaving. It returns when they were told or the context ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.begin()
	k.roster.Leave(k.Clock.Now())
	peers := k.some(leavePeers)
	k.mu.Unlock()
	k.askAll(ctx, peers)
}

// leavePeers is the number of hosts of the own domain that are told of leaving; the others hear it from them.
const leavePeers = 8

func (k *Keeper) period() yuccahinge.Millis { return orDefault(k.PeriodMs, DefaultPeriod) }

func orDefault(m, def yuccahinge.Millis) yuccahinge.Millis {
	if m > 0 {
		return m
	}
	return def
}

func (k *Keeper) record(e yuccahinge.Event) {
	if k.Recorder != nil {
		k.Recorder.Record(e)
	}
}

// sleep waits for a span with up to a quarter of it added or taken away, and reports whether the context lives.
func (k *Keeper) sleep(ctx context.Context, span yuccahinge.Millis) bool {
	timer := time.NewTimer(k.dice.jitter(span).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
