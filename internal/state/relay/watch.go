package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// lateMs is how long after the end of its long poll a reader's answer is late. The other readers are called then.
	lateMs yuccahinge.Millis = 200
	// silentMs is how long a host that did not answer is passed over. The membership excludes one that stays silent.
	silentMs = 5 * yuccahinge.Second
	// refusedMs is how long a reader that can't read the platform is passed over while a substitute can.
	refusedMs = 1 * yuccahinge.Second
	// substituteWaitMs is how long a substitute that is asked to read the platform may take for it, and substituteCallMs bounds the
	// call.
	substituteWaitMs yuccahinge.Millis = 200
	substituteCallMs yuccahinge.Millis = 250
)

var (
	errNoReader = errors.New("no other host is a reader of the list of searchers")
	// errIsSubstitute and errReadAsked tell the Watcher to read the platform.
	errIsSubstitute = errors.New("no reader answers with a list, and this host is next in order")
	errReadAsked    = errors.New("another host gets no list from a reader and asked this one to read the platform")
	// errNotNewer reports that a host has read the platform no later than it was read for this host's list.
	errNotNewer = errors.Mark(errors.New("the list of the reader is not newer"), yuccahinge.ErrPlatformUnavailable)
)

// answer is a host's answer to a request.
type answer struct {
	host  yuccahinge.HostID
	batch *yuccahinge.ChangeBatch
	err   error
}

// List implements yuccahinge.ListWatcher.
func (r *Relay) List(ctx context.Context) (*yuccahinge.ChangeBatch, error) {
	return r.Watch(ctx, yuccahinge.Position{}, 0)
}

// search says how to look for a host that has a list.
type search struct {
	// request returns the request to send now, with the given wait. The first one to a reader may ask for a newer list than others do.
	request func(wait yuccahinge.Millis, isFirst bool) request
	// waitMs is the wait of the first request, othersMs the time after which all other hosts are called, and othersWaitMs the wait of
	// these requests. All calls are given up after limitMs.
	waitMs, othersMs, othersWaitMs, limitMs yuccahinge.Millis
	// asksSubstitutes reports whether substitutes are asked if no reader has a list, and awaitsSubstitutes whether that waits for their
	// reads of the platform although the readers refuse.
	asksSubstitutes, awaitsSubstitutes bool
	// accepts reports whether a list is one that is looked for; nil accepts any.
	accepts func(*yuccahinge.ChangeBatch) bool
}

// Watch implements yuccahinge.ListWatcher. It calls the reader that answered last, and all others if that one fails or is late. If
// none has a list it asks substitutes, the hosts that are next in order, to read the platform in place of all hosts. An error that
// is not marked with ErrPlatformUnavailable means that this host has to read the platform itself.
func (r *Relay) Watch(ctx context.Context, after yuccahinge.Position, wait yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	return r.find(ctx, &search{
		request: func(wait yuccahinge.Millis, _ bool) request {
			return request{After: after.Revision, Epoch: after.Epoch, WaitMs: wait}
		},
		waitMs: wait, othersMs: wait + lateMs, limitMs: wait + callTimeoutMs,
		asksSubstitutes: wait > 0,
	})
}

// WatchNewer returns the changes after a position from a host that has read the platform since known, which is when it was last read
// for this host's list. It calls the same hosts as Watch does, each early enough for this host to read the platform in time if none
// has a newer list: then the error is marked with ErrPlatformUnavailable if a host could be reached.
func (r *Relay) WatchNewer(ctx context.Context, after yuccahinge.Position, known yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	b := r.Bound
	now := r.Clock.Now()
	othersMs := max(0, known+b.AskOthersAfter()-now)
	return r.find(ctx, &search{
		request: func(wait yuccahinge.Millis, isFirst bool) request {
			gain := b.MinGain()
			if isFirst {
				gain = b.RefreshAfter()
			}
			return request{
				After: after.Revision, Epoch: after.Epoch, WaitMs: wait,
				Refresh: true, RefreshInMs: known + gain - r.Clock.Now(),
			}
		},
		waitMs: max(0, known+b.ReadAfter(0)-now), othersMs: othersMs, limitMs: max(known+b.AskSubstitutesAfter()-now, othersMs+b.MinCall()),
		asksSubstitutes: true, awaitsSubstitutes: true,
		accepts: func(got *yuccahinge.ChangeBatch) bool {
			return len(got.Changes) > 0 || got.Epoch != after.Epoch || r.Clock.Now()-got.AgeMs >= known+b.MinGain()
		},
	})
}

// find calls the readers, and then their substitutes, for a list.
func (r *Relay) find(ctx context.Context, s *search) (*yuccahinge.ChangeBatch, error) {
	ctx, end, err := r.beginWatch(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	hosts, substitutes := r.targets()
	if substitutes && s.awaitsSubstitutes {
		s.othersWaitMs = substituteWaitMs
	}
	b, err := r.callInOrder(ctx, hosts, s, substitutes)
	if err != nil && s.asksSubstitutes && !substitutes && ctx.Err() == nil {
		b, err = r.callSubstitutes(ctx, hosts, s, err)
	}
	return b, causeOf(ctx, err)
}

// callSubstitutes asks substitutes after the readers failed with an error. If these can't read the platform, it waits until the
// substitutes have only if the search says so: that may fail as well, and the readers answer as soon as the platform does.
func (r *Relay) callSubstitutes(ctx context.Context, readers []yuccahinge.Member, s *search, cause error) (*yuccahinge.ChangeBatch, error) {
	refused := errors.Is(cause, yuccahinge.ErrPlatformUnavailable)
	passedOver := r.passedOverHosts()
	for _, m := range readers {
		passedOver = append(passedOver, yuccahinge.HostID(m.ID))
	}
	ids := r.readers(passedOver)
	if slices.Contains(ids, r.Self) {
		return nil, errIsSubstitute
	}
	next := search{request: s.request, accepts: s.accepts, limitMs: substituteCallMs}
	if !refused || s.awaitsSubstitutes {
		next.waitMs, next.othersWaitMs = substituteWaitMs, substituteWaitMs
	}
	b, err := r.callInOrder(ctx, r.inOrder(ids), &next, true)
	switch {
	case err == nil && refused:
		r.passOver(refusedMs, readers...)
	case err != nil:
		err = cause // a host that reaches no reader must not wait for the substitutes to be able to read
	}
	return b, err
}

// causeOf returns why a context was canceled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// beginWatch returns a context that ends with errReadAsked when another host asks this one to read the platform, and a function
// that ends the watch.
func (r *Relay) beginWatch(ctx context.Context) (context.Context, func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Clock.Now() < r.readAskedUntil {
		r.readAskedUntil = 0
		return nil, nil, errReadAsked
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r.endWatch = cancel
	return ctx, func() {
		r.mu.Lock()
		r.endWatch = nil
		r.mu.Unlock()
		cancel(nil)
	}, nil
}

// awaitRead makes this host read the platform, and returns when it has or when the requested wait ends. The caller holds the lock,
// which is released during the wait.
func (r *Relay) awaitRead(ctx context.Context, req *request, refreshFrom yuccahinge.Millis) {
	if r.endWatch != nil {
		r.endWatch(errReadAsked)
	} else {
		r.readAskedUntil = r.Clock.Now() + substituteWaitMs
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.WaitMs, substituteWaitMs).Duration())
	defer cancel()
	for ctx.Err() == nil && (!r.canAnswer(req) || req.Refresh && !r.hasNews(req, refreshFrom)) {
		fresh := r.nextFresh()
		r.mu.Unlock()
		select {
		case <-fresh:
		case <-ctx.Done():
		}
		r.mu.Lock()
	}
}

// callInOrder calls the first of some hosts, and all others at once if that one fails or is late. It returns the first answer that is
// accepted.
func (r *Relay) callInOrder(ctx context.Context, hosts []yuccahinge.Member, s *search, substitutes bool) (*yuccahinge.ChangeBatch, error) {
	if len(hosts) == 0 {
		return nil, errNoReader
	}
	ctx, cancel := context.WithTimeout(ctx, s.limitMs.Duration())
	defer cancel()
	answers := make(chan answer, len(hosts))
	call := func(m yuccahinge.Member, wait yuccahinge.Millis, isFirst bool) {
		req := s.request(wait, isFirst)
		req.Substitute = substitutes
		b, err := r.call(ctx, m.PeerAddr, &req)
		if err == nil && s.accepts != nil && !s.accepts(b) {
			b, err = nil, errNotNewer
		}
		answers <- answer{yuccahinge.HostID(m.ID), b, err}
	}
	go call(hosts[0], s.waitMs, s.othersMs > 0)
	called := 1
	timer := time.NewTimer(s.othersMs.Duration())
	defer timer.Stop()
	err := errNoReader
	for ended := 0; ended < called; {
		select {
		case a := <-answers:
			ended++
			if a.err == nil {
				r.recordAnswer(a.host, true)
				return a.batch, nil
			}
			err = r.recordFailure(ctx, a, s.waitMs > 0, err)
		case <-timer.C:
		}
		for ; called < len(hosts); called++ {
			go call(hosts[called], s.othersWaitMs, false)
		}
	}
	return nil, err
}

// recordFailure records a failed call, and returns the error to report for it and earlier ones: that of a host that refused takes
// precedence, because it is up. A host that did not answer a long poll is passed over.
func (r *Relay) recordFailure(ctx context.Context, a answer, isLongPoll bool, earlier error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return a.err // the watch has ended
	}
	r.recordAnswer(a.host, false)
	switch {
	case isRefusal(a.err):
		return errors.Mark(a.err, yuccahinge.ErrPlatformUnavailable)
	case errors.Is(a.err, errNotNewer):
		return a.err
	}
	if isLongPoll {
		r.passOver(silentMs, yuccahinge.Member{ID: string(a.host)})
	}
	if errors.Is(earlier, yuccahinge.ErrPlatformUnavailable) {
		return earlier
	}
	return a.err
}

// targets returns the hosts to call in order: the readers that are not passed over, or if there is none the substitutes that take
// their place. It returns no substitutes if this host is one of them.
func (r *Relay) targets() (hosts []yuccahinge.Member, substitutes bool) {
	passedOver := r.passedOverHosts()
	ids := slices.DeleteFunc(r.readers(nil), func(id yuccahinge.HostID) bool { return slices.Contains(passedOver, id) })
	if len(ids) > 0 {
		return r.inOrder(ids), false
	}
	if ids = r.readers(passedOver); slices.Contains(ids, r.Self) {
		return nil, true
	}
	return r.inOrder(ids), true
}

// readersInOrder returns the other readers in the order in which this host calls them.
func (r *Relay) readersInOrder() []yuccahinge.Member { return r.inOrder(r.readers(nil)) }

// inOrder returns hosts but for this one in the order in which it calls them: the one that answered last, those of its own failure
// domain, and the others. The order within a group differs from host to host.
func (r *Relay) inOrder(hosts []yuccahinge.HostID) []yuccahinge.Member {
	r.mu.Lock()
	last := r.lastReader
	r.mu.Unlock()
	var ids []string
	for _, id := range hosts {
		if id != r.Self {
			ids = append(ids, string(id))
		}
	}
	out := make([]yuccahinge.Member, 0, len(ids))
	for _, id := range rendez.Order(string(r.Self), ids) {
		if m, ok := r.Membership.Find(yuccahinge.HostID(id)); ok {
			out = append(out, m)
		}
	}
	rank := func(m yuccahinge.Member) int {
		switch {
		case yuccahinge.HostID(m.ID) == last:
			return 0
		case m.Domain == r.Domain:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(out, func(a, b yuccahinge.Member) int { return rank(a) - rank(b) })
	return out
}

// recordAnswer records whether a reader answered. The preference for the last reader is reset when it fails, and
// after homeRetryAnswers answers, because the reader of this host's own failure domain may be available again by
// then.
func (r *Relay) recordAnswer(id yuccahinge.HostID, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.passedOverUntil, id)
	}
	switch {
	case !ok && id == r.lastReader, ok && r.readerAnswers >= homeRetryAnswers:
		r.lastReader, r.readerAnswers = "", 0
	case ok:
		r.lastReader = id
		r.readerAnswers++
	}
}

// passOver passes over hosts for a while.
func (r *Relay) passOver(span yuccahinge.Millis, hosts ...yuccahinge.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.passedOverUntil == nil {
		r.passedOverUntil = make(map[yuccahinge.HostID]yuccahinge.Millis)
	}
	for _, m := range hosts {
		id := yuccahinge.HostID(m.ID)
		r.passedOverUntil[id] = max(r.passedOverUntil[id], r.Clock.Now()+span)
	}
}

// passedOverHosts returns the hosts that are passed over.
func (r *Relay) passedOverHosts() []yuccahinge.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []yuccahinge.HostID
	now := r.Clock.Now()
	for id, until := range r.passedOverUntil {
		if now < until {
			out = append(out, id)
			continue
		}
		delete(r.passedOverUntil, id)
	}
	return out
}
