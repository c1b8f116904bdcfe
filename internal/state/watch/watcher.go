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
)

const (
	// defaultPause is the time between two watches. Each watch ends at once because of heartbeats, so a shorter pause
	// costs calls; a longer one delays the news that a searcher is leaving.
	defaultPause yuccahinge.Millis = 400
	// watchWaitMs is how long one watch of the platform waits for a change. Heartbeats end most watches at once. A
	// watch whose reply is lost must time out before the searchers that leave during it have to be known.
	watchWaitMs = 1 * yuccahinge.Second
	// minWaitMs is the shortest wait of a watch.
	minWaitMs yuccahinge.Millis = 20
	// peerWaitMs is how long a reader may wait for a change before it replies. It bounds the delay that a hung reader
	// causes.
	peerWaitMs = 1 * yuccahinge.Second
	// peerPauseMs is the time between two calls to a reader, which replies at once when something has changed.
	peerPauseMs yuccahinge.Millis = 100
	// directMs is how long a host reads the platform directly after a call to its readers failed.
	directMs = 5 * yuccahinge.Second
	// followerReadMs is the time between two reads of a platform that does not answer, by a host that is not a
	// reader. In between it calls its readers, which retry the platform more often: the calls of all hosts add up at
	// the platform.
	followerReadMs yuccahinge.Millis = 1500
	// peerRetryMs is the time after which such a host calls its readers again.
	peerRetryMs yuccahinge.Millis = 250
	// firstListMs bounds the wait for a reader's list at the start. A whole list takes a few milliseconds.
	firstListMs yuccahinge.Millis = 100
	// entryLapseMs is the time without an update after which the platform may have been down long enough for entries
	// to expire: a searcher's entry lasts three heartbeats, of which one may already have passed. Watches take less
	// time.
	entryLapseMs yuccahinge.Millis = 2600
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff yuccahinge.Millis = 100
	maxBackoff   yuccahinge.Millis = 500
)

// Peers gives access to the lists of searchers that other hosts have.
type Peers interface {
	yuccahinge.ListWatcher
	// IsReader reports whether this host is a reader: one that reads the platform directly.
	IsReader() bool
	// AnyPeer returns the changes after a revision that some other hosts know, even if they cannot read the platform.
	AnyPeer(ctx context.Context, after yuccahinge.Revision) (*yuccahinge.ChangeBatch, error)
	// SetList offers this host's list to other hosts. It takes the revision, whether the list has changed, whether it
	// was just read from the platform and is settled, and a function that returns the changes after a revision.
	SetList(revision yuccahinge.Revision, changed, fresh bool, since func(yuccahinge.Revision) *yuccahinge.ChangeBatch)
	// WithLock calls f while the function given to SetList does not run, so that f may change the list.
	WithLock(f func())
}

// Watcher keeps the list of searchers up to date. Set Publisher, Peers, Changed and Clock before Run.
type Watcher struct {
	// Publisher reads the platform.
	Publisher yuccahinge.ListWatcher
	Peers     Peers
	// OnChange is called with the searchers of each service whenever they have changed.
	OnChange func(services map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	// AwaitPeers returns once the host knows peers that it can call instead of the platform, or has found none so far. If it
	// is nil, Run does not wait.
	AwaitPeers func(ctx context.Context)
	Recorder   yuccahinge.EventRecorder
	Clock      yuccahinge.Clock
	// PauseMs is the time between two watches of the platform; zero takes a default.
	PauseMs yuccahinge.Millis
	// Seed seeds the jitter.
	Seed uint64

	census  census.SearcherList
	rand    *rand.Rand
	backoff yuccahinge.Millis
	// listed reports whether the whole list was read, so that reading changes suffices.
	listed       bool
	platformDown bool
	// noSource reports whether neither the platform nor another host gave a list at the last try.
	noSource bool
	// directUntil is when a host that is not a reader stops reading the platform directly.
	directUntil yuccahinge.Millis
	// nextDirect is the earliest time at which such a host reads a platform again that did not answer.
	nextDirect yuccahinge.Millis
	// following reports whether other hosts read the platform for this one.
	following bool
	// hasList reports whether a list was received since the start, and lastUpdate is when the last reply arrived.
	hasList    bool
	lastUpdate yuccahinge.Millis
}

// Run keeps the list up to date until the context ends.
func (f *Watcher) Run(ctx context.Context) error {
	f.rand = rand.New(rand.NewPCG(f.Seed, 0))
	f.backoff = firstBackoff
	f.readFirstList(ctx)
	for ctx.Err() == nil {
		f.setFollowing(f.hasList && f.Clock.Now() >= f.directUntil && !f.Peers.IsReader())
		if f.following {
			f.step(ctx, f.readPeers)
		} else {
			f.step(ctx, f.readPlatform)
		}
	}
	return nil
}

// readFirstList gets the first list from a reader that answers within firstListMs. Hosts that start together find no
// reader and read the platform without further delay.
func (f *Watcher) readFirstList(ctx context.Context) {
	if f.AwaitPeers != nil {
		f.AwaitPeers(ctx)
	}
	if f.Peers.IsReader() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, firstListMs.Duration())
	defer cancel()
	b, err := f.Peers.Watch(callCtx, 0, 0)
	if err != nil {
		return // Run reads the platform next
	}
	f.mergePeerBatch(b)
}

// mergePeerBatch merges the reply of a reader.
func (f *Watcher) mergePeerBatch(b *yuccahinge.ChangeBatch) {
	f.lastUpdate = f.Clock.Now()
	f.listed = f.listed || b.Snapshot
	f.markPlatformUp(b)
	f.update(func(now yuccahinge.Millis) bool { return f.census.Merge(now, b) }, false)
}

// step makes one read and waits until the next is due.
func (f *Watcher) step(ctx context.Context, read func(context.Context) yuccahinge.Millis) {
	pause := read(ctx)
	if at, ok := f.census.NextExpiry(); ok {
		pause = min(pause, max(0, at-f.Clock.Now()))
	}
	f.sleep(ctx, pause)
}

// setFollowing sets whether other hosts read the platform for this one, and records a change.
func (f *Watcher) setFollowing(follows bool) {
	if follows == f.following {
		return
	}
	f.following = follows
	if follows {
		f.record(event.ReaderStoodDown, "searchers")
		return
	}
	f.record(event.ReaderElected, "searchers")
}

// readPeers reads changes from a reader and returns the pause before the next read.
func (f *Watcher) readPeers(ctx context.Context) yuccahinge.Millis {
	after := f.census.Revision()
	if !f.listed {
		after = 0
	}
	b, err := f.Peers.Watch(ctx, after, f.watchWait(peerWaitMs))
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		f.mergePeerBatch(b)
		return peerPauseMs
	}
	if errors.Is(err, yuccahinge.ErrPlatformUnavailable) {
		return f.readWithoutReaders(ctx, err)
	}
	now := f.Clock.Now()
	if now < f.nextDirect {
		return min(peerRetryMs, f.nextDirect-now)
	}
	f.directUntil = now + directMs
	f.record(event.SpreadPullFailed, "searchers: "+err.Error())
	return 0
}

// readWithoutReaders updates the list while the readers cannot read the platform. This host keeps following them
// because they answer again as soon as the platform does. Until then any host may have a newer list, and an
// occasional short read of the platform shows whether only the readers have lost it.
func (f *Watcher) readWithoutReaders(ctx context.Context, cause error) yuccahinge.Millis {
	f.readAnyPeer(ctx)
	if now := f.Clock.Now(); now >= f.nextDirect {
		f.nextDirect = now + f.jitter(followerReadMs)
		f.record(event.SpreadPullFailed, "searchers: "+cause.Error())
		f.readPlatform(ctx)
	}
	return peerRetryMs
}

// readPlatform reads the whole list, or only the changes once a whole list is known, and returns the pause before the
// next read.
func (f *Watcher) readPlatform(ctx context.Context) yuccahinge.Millis {
	b, err := f.readBatch(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		f.markPlatformUp(b)
		if f.hasList && f.Clock.Now() > f.lastUpdate+entryLapseMs {
			f.census.RecordOutage()
		}
		f.lastUpdate = f.Clock.Now()
		f.update(func(now yuccahinge.Millis) bool { return f.census.Apply(now, b) }, true)
		return f.pause()
	case errors.Is(err, yuccahinge.ErrCompacted):
		f.listed = false
		return 0
	}
	f.markPlatformDown(err)
	f.readAnyPeer(ctx)
	if f.hasList && !f.Peers.IsReader() {
		f.directUntil = 0
		f.nextDirect = max(f.nextDirect, f.Clock.Now()+f.jitter(followerReadMs))
		return peerRetryMs
	}
	pause := f.backoff
	f.backoff = min(2*f.backoff, maxBackoff)
	return pause
}

func (f *Watcher) readBatch(ctx context.Context) (*yuccahinge.ChangeBatch, error) {
	if !f.listed {
		return f.Publisher.List(ctx)
	}
	if f.following {
		return f.Publisher.Watch(ctx, f.census.Revision(), minWaitMs)
	}
	return f.Publisher.Watch(ctx, f.census.Revision(), f.watchWait(watchWaitMs))
}

// watchWait returns how long a read may wait for a change: at most limit, and no longer than until the grace period
// of a removed entry ends.
func (f *Watcher) watchWait(limit yuccahinge.Millis) yuccahinge.Millis {
	if at, ok := f.census.NextExpiry(); ok {
		return min(limit, max(minWaitMs, at-f.Clock.Now()))
	}
	return limit
}

// update applies a change to the list, offers the result to peers and calls Changed if the searchers have changed.
func (f *Watcher) update(change func(now yuccahinge.Millis) bool, fresh bool) {
	changed := false
	f.Peers.WithLock(func() { changed = change(f.Clock.Now()) })
	first := fresh && !f.listed
	f.listed = f.listed || fresh
	f.hasList = f.hasList || f.census.Revision() > 0
	f.Peers.SetList(f.census.Revision(), changed, fresh && f.census.InSync(f.Clock.Now()), f.census.ChangesSince)
	if !changed && !first {
		return
	}
	f.record(event.SearchersChanged, fmt.Sprintf("%d searchers at revision %d", f.census.Len(), f.census.Revision()))
	f.OnChange(f.census.Services())
}

// markPlatformDown handles a failed read of the platform.
func (f *Watcher) markPlatformDown(err error) {
	f.census.RecordOutage()
	if !f.platformDown {
		f.platformDown = true
		f.record(event.PlatformDown, "searchers: "+err.Error())
	}
}

// readAnyPeer merges the newest list of some other hosts.
func (f *Watcher) readAnyPeer(ctx context.Context) {
	b, err := f.Peers.AnyPeer(ctx, f.census.Revision())
	if err != nil {
		if ctx.Err() == nil && !f.noSource {
			f.noSource = true
			f.record(event.SpreadPullFailed, "searchers: "+err.Error())
		}
		f.update(f.census.Expire, false)
		return
	}
	f.noSource = false
	if b.Revision > f.census.Revision() {
		// The other host may still hold entries that were removed before its revision, so changes since then do not
		// suffice.
		f.listed = false
	}
	f.update(func(now yuccahinge.Millis) bool { return f.census.Merge(now, b) }, false)
}

func (f *Watcher) markPlatformUp(b *yuccahinge.ChangeBatch) {
	f.backoff = firstBackoff
	if f.platformDown {
		f.platformDown = false
		f.record(event.PlatformBack, fmt.Sprintf("searchers: revision %d", b.Revision))
	}
}

func (f *Watcher) record(code yuccahinge.EventCode, detail string) {
	if f.Recorder != nil {
		f.Recorder.Record(yuccahinge.Event{Code: code, Detail: detail})
	}
}

func (f *Watcher) pause() yuccahinge.Millis {
	if f.PauseMs > 0 {
		return f.PauseMs
	}
	return defaultPause
}

// jitter returns span changed by up to an eighth in either direction.
func (f *Watcher) jitter(span yuccahinge.Millis) yuccahinge.Millis {
	return span * yuccahinge.Millis(0.875+0.25*f.rand.Float64())
}

// sleep waits for span with jitter, or until the context ends.
func (f *Watcher) sleep(ctx context.Context, span yuccahinge.Millis) {
	t := time.NewTimer(f.jitter(span).Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
