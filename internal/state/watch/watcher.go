// Package watch keeps the list of searchers up to date by watching the platform directly or through other entry hosts.
package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/census"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/delays"
)

const (
	// defaultWatchDelay is the pause after a watch that has found a change, which may be a mere heartbeat: a shorter one costs calls; a
	// longer one delays the detection of a draining searcher.
	defaultWatchDelay yuccahinge.Millis = 400
	// watchWaitMs is how long one watch of the platform waits for a change. Heartbeats end most watches at once. If
	// a reply is lost, changes are detected only after the watch times out, which must be before a searcher that
	// leaves in the meantime has to be known.
	watchWaitMs = 1 * yuccahinge.Second
	// minWaitMs is the shortest wait of a watch.
	minWaitMs yuccahinge.Millis = 20
	// slowReadFactor is how many times longer than the last read one takes at least that is given up.
	slowReadFactor = 4
	// firstListMs bounds the wait for a reader's list at the start. A whole list takes a few milliseconds.
	firstListMs yuccahinge.Millis = 100
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff yuccahinge.Millis = 100
	maxBackoff   yuccahinge.Millis = 500
)

// Peers gives access to the lists of searchers that other hosts have.
type Peers interface {
	yuccahinge.ListWatcher
	// WatchNewer returns the changes after a position from a reader that has read the platform since known. It waits for such a read
	// until the context ends or no reader can make one in time. An error that is not marked with ErrPlatformUnavailable means that no
	// reader could be asked.
	WatchNewer(ctx context.Context, after yuccahinge.Position, known yuccahinge.Millis) (*yuccahinge.ChangeBatch, error)
	// IsReader reports whether this host is a reader: one that reads the platform directly.
	IsReader() bool
	// AnyPeer returns the changes after a position that some other hosts know, even if they cannot read the platform.
	AnyPeer(ctx context.Context, after yuccahinge.Position) (*yuccahinge.ChangeBatch, error)
	// SetList offers this host's list to other hosts. It takes the position, whether the list has changed, whether it
	// was just read from the platform and is in sync, and a function that returns the changes after a position.
	SetList(position yuccahinge.Position, changed, fresh bool, changesSince func(yuccahinge.Position) *yuccahinge.ChangeBatch)
	// WithLock calls f while the function given to SetList does not run, so that f may change the list.
	WithLock(f func())
}

// Watcher keeps the list of searchers up to date. Set ListWatcher, Peers, OnChange and Clock before Run.
type Watcher struct {
	// ListWatcher reads the platform.
	ListWatcher yuccahinge.ListWatcher
	Peers       Peers
	// OnChange is called with the searchers of each service whenever they have changed.
	OnChange func(services map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	// AwaitPeers returns once the host knows peers that it can call instead of the platform, or has found none so far. If it
	// is nil, Run does not wait.
	AwaitPeers func(ctx context.Context)
	Recorder   yuccahinge.EventRecorder
	Clock      yuccahinge.Clock
	// PauseMs is the pause after a watch of the platform that has found a change; zero takes a default.
	PauseMs yuccahinge.Millis
	// Bound bounds the delays of reads.
	Bound delays.Bound
	// Seed seeds the jitter.
	Seed uint64
	// WatchWarmups calls OnChange when a searcher becomes cold, too.
	WatchWarmups bool

	list     census.SearcherList
	problems problems
	rand     *rand.Rand
	// spread is this host's share of the time over which hosts spread their reads.
	spread  float64
	backoff yuccahinge.Millis
	// waitedMs is how long the last read took, and readMs how long it took beyond its wait.
	waitedMs, readMs yuccahinge.Millis
	// listed reports whether the whole list was read, so that reading changes suffices.
	listed       bool
	platformDown bool
	// noListAvailable reports whether neither the platform nor another host gave a list at the last try.
	noListAvailable bool
	// readersRefuse reports whether the readers could not read the platform at the last call.
	readersRefuse bool
	// directUntil is when a host that is not a reader stops reading the platform directly.
	directUntil yuccahinge.Millis
	// nextDirectRead is the earliest time at which a host that is not a reader again reads a platform that did not answer.
	nextDirectRead yuccahinge.Millis
	// followsReaders reports whether other hosts read the platform for this one.
	followsReaders bool
	// hasList reports whether a list was received since the start.
	hasList bool
	// keeps reports whether the list holds searchers without an entry.
	keeps bool
	// lastKnownRead is when the platform was last read for this host, by itself or by the reader whose list it has. It is that of the
	// list before during an update.
	lastKnownRead yuccahinge.Millis
	// failures counts the failed reads since then.
	failures int
}

// Run keeps the list up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.rand = rand.New(rand.NewPCG(w.Seed, 0))
	w.spread = w.rand.Float64()
	w.backoff = firstBackoff
	w.list.WatchWarmups = w.WatchWarmups
	w.readFirstList(ctx)
	for ctx.Err() == nil {
		w.setFollowing(w.hasList && w.Clock.Now() >= w.directUntil && !w.Peers.IsReader())
		if w.followsReaders {
			w.step(ctx, w.readPeers)
		} else {
			w.step(ctx, w.readPlatform)
		}
	}
	return nil
}

// readFirstList gets the first list from a reader that answers within firstListMs. Hosts that start together find no
// reader and read the platform without further delay.
func (w *Watcher) readFirstList(ctx context.Context) {
	if w.AwaitPeers != nil {
		w.AwaitPeers(ctx)
	}
	if w.Peers.IsReader() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, firstListMs.Duration())
	defer cancel()
	b, err := w.Peers.Watch(callCtx, yuccahinge.Position{}, 0)
	if err != nil {
		return // Run reads the platform next
	}
	w.mergePeerBatch(b)
}

// mergePeerBatch merges the changes that a reader, a host that reads the platform directly, has replied with.
func (w *Watcher) mergePeerBatch(b *yuccahinge.ChangeBatch) {
	w.listed = w.listed || b.Snapshot
	w.markPlatformUp(b)
	w.update(func(now yuccahinge.Millis) bool { return w.list.Merge(now, b) }, false)
	w.recordKnownRead(w.Clock.Now() - b.AgeMs)
}

// recordKnownRead records when the platform was read for this host's list.
func (w *Watcher) recordKnownRead(at yuccahinge.Millis) {
	w.lastKnownRead = max(w.lastKnownRead, at)
	w.failures = 0
}

// sinceKnownRead describes the time since the platform was last read for this host's list.
func (w *Watcher) sinceKnownRead() string {
	if w.lastKnownRead == 0 {
		return "first read"
	}
	return fmt.Sprintf("%.0f ms after the last known read, %d failed since", w.Clock.Now()-w.lastKnownRead, w.failures)
}

// step makes one read and waits until the next is due.
func (w *Watcher) step(ctx context.Context, read func(context.Context) yuccahinge.Millis) {
	pause := read(ctx)
	if at, ok := w.list.NextExpiry(); ok {
		pause = min(pause, max(0, at-w.Clock.Now()))
	}
	w.sleep(ctx, pause)
}

// setFollowing sets whether other hosts read the platform for this one, and records a change.
func (w *Watcher) setFollowing(follows bool) {
	if follows == w.followsReaders {
		return
	}
	w.followsReaders = follows
	if follows {
		w.record(event.ReaderStoodDown, "searchers")
		return
	}
	w.record(event.ReaderElected, "searchers: "+w.sinceKnownRead())
}

// readPlatform reads the whole list, or only the changes once a whole list is known, and returns the wait before the
// next read.
func (w *Watcher) readPlatform(ctx context.Context) yuccahinge.Millis {
	b, err := w.readBatch(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		w.markPlatformUp(b)
		w.expectRemovals()
		w.problems.update(b, func(detail string) { w.record(event.SearcherEntryInvalid, detail) })
		w.update(func(now yuccahinge.Millis) bool { return w.list.Apply(now, b) }, true)
		w.recordKnownRead(w.Clock.Now())
		return w.watchDelay(b)
	case errors.Is(err, yuccahinge.ErrCompacted):
		w.listed = false
		return 0
	}
	w.markPlatformDown(err)
	if w.listed && w.failures == 1 && w.Peers.IsReader() {
		return min(w.backoff, w.Bound.MinCall()) // the next read takes another connection
	}
	w.readAnyPeer(ctx)
	if w.hasList && !w.Peers.IsReader() {
		w.directUntil = 0
		w.nextDirectRead = max(w.nextDirectRead, w.Clock.Now()+w.jitter(followerReadMs))
		return peerRetryMs
	}
	pause := w.backoff
	w.backoff = min(2*w.backoff, maxBackoff)
	return pause
}

func (w *Watcher) readBatch(ctx context.Context) (*yuccahinge.ChangeBatch, error) {
	if !w.listed {
		return w.ListWatcher.List(ctx)
	}
	wait := minWaitMs
	if !w.followsReaders {
		// Other hosts wait for the result if the last known read is old.
		left := w.lastKnownRead + w.Bound.ReadInterval() - w.Clock.Now()
		wait = w.watchWait(max(minWaitMs, min(watchWaitMs, left)))
	}
	if w.failures == 0 {
		// A read that takes much longer than the last one may be on a dead connection.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (wait + max(w.Bound.ReadTimeout(), slowReadFactor*w.readMs)).Duration())
		defer cancel()
	}
	start := w.Clock.Now()
	b, err := w.ListWatcher.Watch(ctx, w.list.Position(), wait)
	if err == nil {
		w.waitedMs = w.Clock.Now() - start
		w.readMs = max(0, w.waitedMs-wait)
	}
	return b, err
}

// watchWait returns how long a read may wait for a change: at most limit, and no longer than until the grace period
// of a removed entry ends.
func (w *Watcher) watchWait(limit yuccahinge.Millis) yuccahinge.Millis {
	if at, ok := w.list.NextExpiry(); ok {
		return min(limit, max(minWaitMs, at-w.Clock.Now()))
	}
	return limit
}

// update applies a change to the list, offers the result to peers and calls OnChange if the searchers have changed.
func (w *Watcher) update(change func(now yuccahinge.Millis) bool, fresh bool) {
	changed, before := false, w.list.Position()
	w.Peers.WithLock(func() { changed = change(w.Clock.Now()) })
	position := w.list.Position()
	if position.Epoch > before.Epoch && w.hasList {
		w.record(event.PlatformRestored, fmt.Sprintf("searchers: epoch %d, revision %d, after epoch %d, revision %d", position.Epoch, position.Revision, before.Epoch, before.Revision))
	}
	first := fresh && !w.listed
	w.listed = w.listed || fresh
	w.hasList = w.hasList || position.Revision > 0
	w.Peers.SetList(position, changed, fresh && w.list.InSync(w.Clock.Now()), w.list.ChangesSince)
	w.reportKept()
	if !changed && !first {
		return
	}
	w.record(event.SearchersChanged, fmt.Sprintf("%d searchers at revision %d, %s", w.list.Len(), position.Revision, w.sinceKnownRead()))
	w.OnChange(w.list.Services())
}

// reportKept records that searchers without an entry stay in the list for a grace period.
func (w *Watcher) reportKept() {
	at, keeps := w.list.NextExpiry()
	if keeps && !w.keeps {
		w.record(event.SearchersKept, fmt.Sprintf("no entry, but the platform may have been away: %s; the first is dropped in %.0f ms", w.sinceKnownRead(), at-w.Clock.Now()))
	}
	w.keeps = keeps
}

// expectRemovals prepares the list for a read of the platform: entries that are missing may have lapsed in an outage if the last known
// read is old enough for that.
func (w *Watcher) expectRemovals() {
	now := w.Clock.Now()
	switch {
	case !w.hasList || now < w.lastKnownRead+w.Bound.ShortestOutage():
		// No entry can have lapsed since.
	case w.failures > 0:
		w.list.RecordOutage()
	default:
		// This host has asked nobody in the meantime, so it can't tell an outage from a departure.
		w.list.KeepRemoved(now, w.lastKnownRead+w.Bound.KeepFor())
	}
}

// markPlatformDown handles a failed read of the platform.
func (w *Watcher) markPlatformDown(err error) {
	w.failures++
	if !w.platformDown {
		w.platformDown = true
		w.record(event.PlatformDown, "searchers: "+err.Error())
	}
}

// readAnyPeer merges the newest list of some other hosts.
func (w *Watcher) readAnyPeer(ctx context.Context) {
	b, err := w.Peers.AnyPeer(ctx, w.list.Position())
	if err != nil {
		if ctx.Err() == nil && !w.noListAvailable {
			w.noListAvailable = true
			w.record(event.SpreadPullFailed, "searchers: "+err.Error())
		}
		w.update(w.list.Expire, false)
		return
	}
	w.noListAvailable = false
	if w.list.Position().Before(b.Position()) {
		// The other host may still hold entries that were removed before its position, so changes since then do not
		// suffice.
		w.listed = false
	}
	w.update(func(now yuccahinge.Millis) bool { return w.list.Merge(now, b) }, false)
}

func (w *Watcher) markPlatformUp(b *yuccahinge.ChangeBatch) {
	w.backoff = firstBackoff
	if w.platformDown {
		w.platformDown = false
		w.record(event.PlatformBack, fmt.Sprintf("searchers: revision %d", b.Revision))
	}
}

func (w *Watcher) record(code yuccahinge.EventCode, detail string) {
	if w.Recorder != nil {
		w.Recorder.Record(yuccahinge.Event{Code: code, Detail: detail})
	}
}

// watchDelay returns the pause after a read. A watch that has waited in vain goes on at once, since a change in the pause is noticed late.
func (w *Watcher) watchDelay(b *yuccahinge.ChangeBatch) yuccahinge.Millis {
	if len(b.Changes) == 0 && w.waitedMs >= minWaitMs {
		return 0
	}
	pause := defaultWatchDelay
	if w.PauseMs > 0 {
		pause = w.PauseMs
	}
	return min(pause, w.Bound.WatchPause())
}

// jitter returns span changed by up to an eighth in either direction.
func (w *Watcher) jitter(span yuccahinge.Millis) yuccahinge.Millis {
	return span * yuccahinge.Millis(0.875+0.25*w.rand.Float64())
}

// sleep waits for span with jitter, or until the context ends.
func (w *Watcher) sleep(ctx context.Context, span yuccahinge.Millis) {
	t := time.NewTimer(w.jitter(span).Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
