// Package feed keeps the list of searchers up to date with what the platform publishes.
package feed

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
	// defaultPause is the time between two watches. Heartbeats end each watch at once, so that a shorter pause costs
	// calls; a longer one delays the word that a searcher is leaving.
	defaultPause yuccahinge.Millis = 400
	// waitMs is how long one watch of the platform waits for a change. Heartbeats end most at once; one whose answer is
	// lost must be given up before searchers that leave meanwhile have to be known.
	waitMs = 1 * yuccahinge.Second
	// minWaitMs is the shortest wait of a watch.
	minWaitMs yuccahinge.Millis = 20
	// peerWaitMs is how long a reader may let this host wait for a change. It bounds what a reader that stands still
	// costs.
	peerWaitMs = 1 * yuccahinge.Second
	// peerPauseMs is the time between two calls to a reader, which answers at once when something has changed.
	peerPauseMs yuccahinge.Millis = 100
	// directMs is how long a host reads the platform itself after its readers have failed it.
	directMs = 5 * yuccahinge.Second
	// followerPauseMs is the time between two reads of a platform that does not answer, by a host that is no reader. Its
	// readers are asked in between, who try more often: every call of every host counts at the platform.
	followerPauseMs yuccahinge.Millis = 1500
	// askAgainMs is the time after which such a host asks its readers again.
	askAgainMs yuccahinge.Millis = 250
	// firstMs bounds the wait for a reader's list at the start. A whole list takes a few milliseconds.
	firstMs yuccahinge.Millis = 100
	// lapseMs is the time without any news after which the platform may have been away for so long that entries have
	// lapsed: a searcher's entry lasts three heartbeats, of which one may have passed. Watches take less.
	lapseMs yuccahinge.Millis = 2600
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff yuccahinge.Millis = 100
	maxBackoff   yuccahinge.Millis = 500
)

// Peers is the list of searchers as other hosts have it.
type Peers interface {
	yuccahinge.Publisher
	// Reads reports whether this host is to read the platform itself.
	Reads() bool
	// Any returns what some hosts know after a revision, though they may not be able to read the platform.
	Any(ctx context.Context, after yuccahinge.Revision) (*yuccahinge.Batch, error)
	// Keep takes what this host knows, and whether it was just read from the platform and is settled. Do keeps it from
	// being read while it changes.
	Keep(revision yuccahinge.Revision, changed, fresh bool, since func(yuccahinge.Revision) *yuccahinge.Batch)
	Do(f func())
}

// Feed reads the list and its changes. Set Publisher, Peers, Changed and Clock before Run.
type Feed struct {
	// Publisher is the platform.
	Publisher yuccahinge.Publisher
	Peers     Peers
	// Changed is called with the searchers of each service whenever they have changed.
	Changed func(services map[yuccahinge.ServiceName][]*yuccahinge.Listing)
	// Met returns once the host knows of others whom it may ask in place of the platform, or that there are none for
	// now; nil does not wait.
	Met      func(ctx context.Context)
	Recorder yuccahinge.Recorder
	Clock    yuccahinge.Clock
	// PauseMs is the time between two watches of the platform.
	PauseMs yuccahinge.Millis
	// Seed feeds the jitter.
	Seed uint64

	census  census.Census
	rand    *rand.Rand
	backoff yuccahinge.Millis
	// listed says that the whole list was read, so that changes suffice.
	listed bool
	down   bool
	// alone says that neither the platform nor another host gave a list at the last try.
	alone       bool
	directUntil yuccahinge.Millis
	// directFrom is when a host that is no reader may read the platform again after that did not answer.
	directFrom yuccahinge.Millis
	follows    bool
	// begun says that there was a list at some time, and heard when the last news came.
	begun bool
	heard yuccahinge.Millis
}

// Run keeps the list up to date until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	f.rand = rand.New(rand.NewPCG(f.Seed, 0))
	f.backoff = firstBackoff
	f.begin(ctx)
	for ctx.Err() == nil {
		f.follow(f.begun && f.Clock.Now() >= f.directUntil && !f.Peers.Reads())
		if f.follows {
			f.step(ctx, f.readPeers)
		} else {
			f.step(ctx, f.readPlatform)
		}
	}
	return nil
}

// begin takes the first list from a reader if one answers at once. Hosts that start together find none, and read the
// platform without delay.
func (f *Feed) begin(ctx context.Context) {
	if f.Met != nil {
		f.Met(ctx)
	}
	if f.Peers.Reads() {
		return
	}
	call, cancel := context.WithTimeout(ctx, firstMs.Duration())
	defer cancel()
	b, err := f.Peers.Changes(call, 0, 0)
	if err != nil {
		return // the platform is next
	}
	f.told(b)
}

// told takes what a reader says.
func (f *Feed) told(b *yuccahinge.Batch) {
	f.heard = f.Clock.Now()
	f.listed = f.listed || b.Whole
	f.regained(b)
	f.take(func(now yuccahinge.Millis) bool { return f.census.Merge(now, b) }, false)
}

// step makes one read and waits for the next.
func (f *Feed) step(ctx context.Context, read func(context.Context) yuccahinge.Millis) {
	pause := read(ctx)
	if at, ok := f.census.Next(); ok {
		pause = min(pause, max(0, at-f.Clock.Now()))
	}
	f.sleep(ctx, pause)
}

// follow notes whether other hosts read the platform for this one.
func (f *Feed) follow(follows bool) {
	if follows == f.follows {
		return
	}
	f.follows = follows
	if follows {
		f.record(event.ReaderStoodDown, "searchers")
		return
	}
	f.record(event.ReaderElected, "searchers")
}

// readPeers takes the changes that a reader knows, and returns the pause that follows.
func (f *Feed) readPeers(ctx context.Context) yuccahinge.Millis {
	after := f.census.Revision()
	if !f.listed {
		after = 0
	}
	b, err := f.Peers.Changes(ctx, after, f.wait(peerWaitMs))
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		f.told(b)
		return peerPauseMs
	}
	if errors.Is(err, yuccahinge.ErrPlatformAway) {
		return f.readAround(ctx, err)
	}
	now := f.Clock.Now()
	if now < f.directFrom {
		return min(askAgainMs, f.directFrom-now)
	}
	f.directUntil = now + directMs
	f.record(event.SpreadPullFailed, "searchers: "+err.Error())
	return 0
}

// readAround makes do while the readers can't read the platform: they are back as soon as it is. Meanwhile any host may
// have heard something newer, and a short look at the platform now and then shows whether only the readers lack it.
func (f *Feed) readAround(ctx context.Context, why error) yuccahinge.Millis {
	f.fallBack(ctx)
	if now := f.Clock.Now(); now >= f.directFrom {
		f.directFrom = now + f.jitter(followerPauseMs)
		f.record(event.SpreadPullFailed, "searchers: "+why.Error())
		f.readPlatform(ctx)
	}
	return askAgainMs
}

// readPlatform reads the whole list, or the changes once that is known, and returns the pause that follows.
func (f *Feed) readPlatform(ctx context.Context) yuccahinge.Millis {
	b, err := f.next(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		f.regained(b)
		if f.begun && f.Clock.Now() > f.heard+lapseMs {
			f.census.Away()
		}
		f.heard = f.Clock.Now()
		f.take(func(now yuccahinge.Millis) bool { return f.census.Apply(now, b) }, true)
		return f.pause()
	case errors.Is(err, yuccahinge.ErrHistoryGone):
		f.listed = false
		return 0
	}
	f.lost(err)
	f.fallBack(ctx)
	if f.begun && !f.Peers.Reads() {
		f.directUntil = 0
		f.directFrom = max(f.directFrom, f.Clock.Now()+f.jitter(followerPauseMs))
		return askAgainMs
	}
	pause := f.backoff
	f.backoff = min(2*f.backoff, maxBackoff)
	return pause
}

func (f *Feed) next(ctx context.Context) (*yuccahinge.Batch, error) {
	if !f.listed {
		return f.Publisher.List(ctx)
	}
	if f.follows {
		return f.Publisher.Changes(ctx, f.census.Revision(), minWaitMs)
	}
	return f.Publisher.Changes(ctx, f.census.Revision(), f.wait(waitMs))
}

// wait returns how long a read may wait for a change: no longer than until an entry that has gone stops to count.
func (f *Feed) wait(most yuccahinge.Millis) yuccahinge.Millis {
	if at, ok := f.census.Next(); ok {
		return min(most, max(minWaitMs, at-f.Clock.Now()))
	}
	return most
}

// take lets changes into the list and tells what follows from them.
func (f *Feed) take(change func(now yuccahinge.Millis) bool, fresh bool) {
	changed := false
	f.Peers.Do(func() { changed = change(f.Clock.Now()) })
	first := fresh && !f.listed
	f.listed = f.listed || fresh
	f.begun = f.begun || f.census.Revision() > 0
	f.Peers.Keep(f.census.Revision(), changed, fresh && f.census.Settled(f.Clock.Now()), f.census.Since)
	if !changed && !first {
		return
	}
	f.record(event.SearchersChanged, fmt.Sprintf("%d searchers at revision %d", f.census.Len(), f.census.Revision()))
	f.Changed(f.census.Services())
}

// lost notes that the platform can't be read.
func (f *Feed) lost(err error) {
	f.census.Away()
	if !f.down {
		f.down = true
		f.record(event.PlatformDown, "searchers: "+err.Error())
	}
}

// fallBack takes the list of a host that may be better off.
func (f *Feed) fallBack(ctx context.Context) {
	b, err := f.Peers.Any(ctx, f.census.Revision())
	if err != nil {
		if ctx.Err() == nil && !f.alone {
			f.alone = true
			f.record(event.SpreadPullFailed, "searchers: "+err.Error())
		}
		f.take(f.census.Expire, false)
		return
	}
	f.alone = false
	if b.Revision > f.census.Revision() {
		// The other host may have kept entries that are gone at its revision, so that changes since then do not suffice.
		f.listed = false
	}
	f.take(func(now yuccahinge.Millis) bool { return f.census.Merge(now, b) }, false)
}

func (f *Feed) regained(b *yuccahinge.Batch) {
	f.backoff = firstBackoff
	if f.down {
		f.down = false
		f.record(event.PlatformBack, fmt.Sprintf("searchers: revision %d", b.Revision))
	}
}

func (f *Feed) record(code yuccahinge.EventCode, detail string) {
	if f.Recorder != nil {
		f.Recorder.Record(yuccahinge.Event{Code: code, Detail: detail})
	}
}

func (f *Feed) pause() yuccahinge.Millis {
	if f.PauseMs > 0 {
		return f.PauseMs
	}
	return defaultPause
}

// jitter returns a span with up to an eighth of it added or taken away.
func (f *Feed) jitter(span yuccahinge.Millis) yuccahinge.Millis {
	return span * yuccahinge.Millis(0.875+0.25*f.rand.Float64())
}

// sleep waits for about a span.
func (f *Feed) sleep(ctx context.Context, span yuccahinge.Millis) {
	t := time.NewTimer(f.jitter(span).Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
