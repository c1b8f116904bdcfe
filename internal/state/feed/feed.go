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
	defaultPause = yuccahinge.Millis(400)
	// waitMs is how long one watch waits for a change.
	waitMs = 2 * yuccahinge.Second
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff = yuccahinge.Millis(100)
	maxBackoff   = 500 * yuccahinge.Millis(1)
)

// Feed reads the list and its changes. Set Publisher, Changed and Clock before Run.
type Feed struct {
	Publisher yuccahinge.Publisher
	// Changed is called with the searchers of each service whenever they have changed.
	Changed func(services map[yuccahinge.ServiceName][]*yuccahinge.Listing)
	// Keep is given the whole list whenever it has changed; nil for nobody.
	Keep func(list *yuccahinge.Batch)
	// Fallback returns another host's list, which is taken while the platform can't be read; nil for none.
	Fallback func(ctx context.Context) (*yuccahinge.Batch, error)
	Recorder yuccahinge.Recorder
	Clock    yuccahinge.Clock
	// PauseMs is the time between two watches.
	PauseMs yuccahinge.Millis
	// Seed feeds the jitter.
	Seed uint64

	census  census.Census
	rand    *rand.Rand
	backoff yuccahinge.Millis
	listed  bool
	down    bool
	// alone says that neither the platform nor another host gave a list at the last try.
	alone bool
}

// Run keeps the list up to date until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	f.rand = rand.New(rand.NewPCG(f.Seed, 0))
	f.backoff = firstBackoff
	for ctx.Err() == nil {
		batch, err := f.next(ctx)
		if ctx.Err() != nil {
			break
		}
		now := f.Clock.Now()
		switch {
		case err == nil:
			f.regained(batch)
			f.apply(now, batch)
			f.sleep(ctx, f.pause())
		case errors.Is(err, yuccahinge.ErrHistoryGone):
			f.listed = false
		default:
			f.lost(now, err)
			f.fallBack(ctx)
			f.sleep(ctx, f.backoff)
			f.backoff = min(2*f.backoff, maxBackoff)
		}
	}
	return nil
}

// next reads the whole list, or the changes once that is known.
func (f *Feed) next(ctx context.Context) (*yuccahinge.Batch, error) {
	if !f.listed {
		return f.Publisher.List(ctx)
	}
	return f.Publisher.Changes(ctx, f.census.Revision(), waitMs)
}

// fallBack takes another host's list.
func (f *Feed) fallBack(ctx context.Context) {
	if f.Fallback == nil {
		return
	}
	batch, err := f.Fallback(ctx)
	if err != nil {
		if ctx.Err() == nil && !f.alone {
			f.alone = true
			f.record(event.SpreadPullFailed, "searchers: "+err.Error())
		}
		return
	}
	f.alone = false
	if f.census.Merge(f.Clock.Now(), batch) {
		f.publish()
	}
}

func (f *Feed) apply(now yuccahinge.Millis, b *yuccahinge.Batch) {
	first := !f.listed && f.census.Revision() == 0
	f.listed = true
	if f.census.Apply(now, b) || first {
		f.publish()
	}
}

func (f *Feed) publish() {
	f.record(event.SearchersChanged, fmt.Sprintf("%d searchers at revision %d", f.census.Len(), f.census.Revision()))
	f.Changed(f.census.Services())
	if f.Keep != nil {
		f.Keep(f.census.Batch())
	}
}

// lost notes that the platform can't be read. Searchers that were leaving go on doing so.
func (f *Feed) lost(now yuccahinge.Millis, err error) {
	f.census.Away()
	if f.census.Expire(now) {
		f.publish()
	}
	if !f.down {
		f.down = true
		f.record(event.PlatformDown, "searchers: "+err.Error())
	}
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

// pause returns the time until the next watch. An entry whose grace ends earlier shortens it.
func (f *Feed) pause() yuccahinge.Millis {
	pause := f.PauseMs
	if pause <= 0 {
		pause = defaultPause
	}
	if at, ok := f.census.Next(); ok {
		pause = min(pause, max(0, at-f.Clock.Now()))
	}
	return pause
}

// sleep waits for a span with up to an eighth of it added or taken away.
func (f *Feed) sleep(ctx context.Context, span yuccahinge.Millis) {
	span *= yuccahinge.Millis(0.875 + 0.25*f.rand.Float64())
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
