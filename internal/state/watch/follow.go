package watch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// peerCallDelayMs is the time between two calls to a reader, which replies at once when something has changed.
	peerCallDelayMs yuccahinge.Millis = 100
	// directMs is how long a host reads the platform directly after a call to its readers failed.
	directMs = 5 * yuccahinge.Second
	// followerReadMs is the time between two reads of a platform that does not answer, by a host that is not a
	// reader. In between it calls its readers, which retry the platform more often: the calls of all hosts add up at
	// the platform.
	followerReadMs yuccahinge.Millis = 1500
	// peerRetryMs is the time after which a host that is not a reader calls its readers again if they failed.
	peerRetryMs yuccahinge.Millis = 250
	// refusalSpreadMs spreads the first reads of the platform over time by hosts whose readers begin to refuse. Those that the hosts
	// have asked to read in place of the readers have a list before.
	refusalSpreadMs yuccahinge.Millis = 500
)

var (
	// errNoNewerList reports that this host has to read the platform because no reader sent a newer list in time.
	errNoNewerList = errors.New("no reader sent a newer list in time")
	// errOldEpoch reports that a reader's list is from before the platform came back from a copy.
	errOldEpoch = errors.New("the reader's list is from before the platform came back from a copy")
)

// readPeers reads changes from a reader and returns the pause before the next read.
func (w *Watcher) readPeers(ctx context.Context) yuccahinge.Millis {
	if late := w.Clock.Now() - w.directReadDeadline(); w.failures == 0 && late >= 0 && late < w.Bound.MinCall() {
		return w.readOnce(ctx, errNoNewerList) // a host that is later than that was paused, and readers know more than it does
	}
	after := w.list.Position()
	if !w.listed {
		after.Revision = 0
	}
	b, err := w.watchPeers(ctx, after)
	if err == nil && b.Epoch < after.Epoch {
		err = errOldEpoch
	}
	switch {
	case ctx.Err() != nil:
		return 0
	case err == nil:
		w.readersRefuse = false
		w.mergePeerBatch(b)
		return peerCallDelayMs
	}
	if errors.Is(err, yuccahinge.ErrPlatformUnavailable) {
		return w.readWithoutReaders(ctx, err)
	}
	now := w.Clock.Now()
	switch {
	case !w.isDirectReadDue(now):
		w.readAnyPeerInTime(ctx)
		return w.untilDirectRead(peerRetryMs)
	case errors.Is(err, context.DeadlineExceeded):
		return w.readOnce(ctx, errNoNewerList)
	}
	w.directUntil = now + directMs
	w.record(event.SpreadPullFailed, "searchers: "+err.Error())
	return 0
}

// watchPeers waits for a newer list of a reader until this host has to read the platform itself.
func (w *Watcher) watchPeers(ctx context.Context, after yuccahinge.Position) (*yuccahinge.ChangeBatch, error) {
	ctx, cancel := w.withDirectRead(ctx)
	defer cancel()
	return w.Peers.WatchNewer(ctx, after, w.lastKnownRead)
}

// withDirectRead returns a context that ends when this host has to read the platform itself or when the grace period of a removed entry
// ends, but leaves time for a call.
func (w *Watcher) withDirectRead(ctx context.Context) (context.Context, context.CancelFunc) {
	end := w.directReadDeadline()
	if at, keeps := w.list.NextExpiry(); keeps {
		end = min(end, at)
	}
	return context.WithTimeout(ctx, max(end-w.Clock.Now(), w.Bound.MinCall()).Duration())
}

// directReadDeadline returns when a host that is no reader has to read the platform itself, if it gets no newer list until then: before
// its list is too old for it to know of departures in time, or if it has tried in vain since that list, some time after it did.
func (w *Watcher) directReadDeadline() yuccahinge.Millis {
	if w.failures > 0 {
		return w.nextDirectRead
	}
	return w.lastKnownRead + w.Bound.ReadAfter(w.spread)
}

// readWithoutReaders updates the list while the readers cannot read the platform. This host keeps calling them
// because they answer again as soon as the platform does. Until then any host may have a newer list, and an
// occasional short read of the platform shows whether only the readers have lost it.
func (w *Watcher) readWithoutReaders(ctx context.Context, cause error) yuccahinge.Millis {
	now := w.Clock.Now()
	if !w.readersRefuse {
		w.readersRefuse = true
		w.nextDirectRead = max(w.nextDirectRead, now+peerRetryMs+refusalSpreadMs*yuccahinge.Millis(w.rand.Float64()))
	}
	if w.isDirectReadDue(now) {
		return w.readOnce(ctx, cause)
	}
	w.readAnyPeerInTime(ctx)
	return w.untilDirectRead(peerRetryMs)
}

// readOnce reads the platform in place of a reader and returns the pause before the next call to the readers.
func (w *Watcher) readOnce(ctx context.Context, cause error) yuccahinge.Millis {
	w.nextDirectRead = w.Clock.Now() + w.jitter(followerReadMs)
	w.record(event.SpreadPullFailed, "searchers: "+cause.Error())
	w.readPlatform(ctx)
	return w.untilDirectRead(peerRetryMs)
}

// readAnyPeerInTime merges the newest list of some other hosts that answer before this host has to read the platform itself.
func (w *Watcher) readAnyPeerInTime(ctx context.Context) {
	ctx, cancel := w.withDirectRead(ctx)
	defer cancel()
	w.readAnyPeer(ctx)
}

// isDirectReadDue reports whether a host that is no reader may read the platform itself: if it has not done so for a while, if the
// grace period of a removed entry ends, which may be listed again by now, or if it has to.
func (w *Watcher) isDirectReadDue(now yuccahinge.Millis) bool {
	at, keeps := w.list.NextExpiry()
	return now >= w.nextDirectRead || keeps && now >= at || now >= w.directReadDeadline()
}

// untilDirectRead returns a pause, or less if this host has to read the platform before its end.
func (w *Watcher) untilDirectRead(pause yuccahinge.Millis) yuccahinge.Millis {
	return min(pause, max(0, w.directReadDeadline()-w.Clock.Now()))
}
