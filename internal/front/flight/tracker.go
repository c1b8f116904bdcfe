// Package flight tracks the requests in flight on a host, so that a host that shuts down takes only those that end in time.
package flight

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// retryAfterMs is the retry delay of a refused request. It is short because the balancer routes the retry to another host.
const retryAfterMs yuccahinge.Millis = 10

// maxDescribed bounds the requests that Describe names.
const maxDescribed = 10

// Tracker tracks the requests in flight on a host. The zero value is ready to use and refuses nothing. A Tracker is safe
// for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
	// latestEnd bounds the end of requests that start, if isBounded is set.
	isBounded bool
	latestEnd yuccahinge.Millis
	refused   int
}

// Request is a request in flight.
type Request struct {
	ID    yuccahinge.RequestID
	Route yuccahinge.RouteName
	// End is the latest time at which the request ends by itself.
	End yuccahinge.Millis
	// IsSent reports whether searchers may have received the request.
	IsSent bool

	tracker *Tracker
	cancel  context.CancelFunc
}

// Start registers a request that ends at the given time at the latest. The returned context ends with ctx, or earlier if
// the request is cut off. The error is a *yuccahinge.Error with the outcome NotRun. The caller must call Finish if there is
// no error.
func (t *Tracker) Start(ctx context.Context, id yuccahinge.RequestID, route yuccahinge.RouteName, end yuccahinge.Millis) (context.Context, *Request, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Request{ID: id, Route: route, End: end, tracker: t}
	if err := t.check(r); err != nil {
		return nil, nil, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	if t.requests == nil {
		t.requests = make(map[*Request]struct{})
	}
	t.requests[r] = struct{}{}
	return ctx, r, nil
}

// Send marks the request as sent to searchers. It returns an error with the outcome NotRun, and the request must not be
// sent, if the bound of SetLatestEnd excludes it by now.
func (r *Request) Send() error {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if err := r.tracker.check(r); err != nil {
		return err
	}
	r.IsSent = true
	return nil
}

// Finish removes the request from its tracker.
func (r *Request) Finish() {
	r.cancel()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	delete(r.tracker.requests, r)
}

// check returns an error if the request might end after latestEnd.
func (t *Tracker) check(r *Request) error {
	if !t.isBounded || r.End <= t.latestEnd {
		return nil
	}
	t.refused++
	return &yuccahinge.Error{
		Code:         yuccahinge.CodeUnavailable,
		Step:         yuccahinge.StepDrain,
		Message:      "the host shuts down before the request would have to end",
		Outcome:      yuccahinge.NotRun,
		RetryAfterMs: retryAfterMs,
	}
}

// SetLatestEnd refuses requests that might end later than the given time. It cancels those in flight that have not been
// sent.
func (t *Tracker) SetLatestEnd(latestEnd yuccahinge.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isBounded, t.latestEnd = true, latestEnd
	for r := range t.requests {
		if !r.IsSent && r.End > latestEnd {
			r.cancel()
		}
	}
}

// Cancel cancels all requests in flight and returns copies of them, sorted by their ids.
func (t *Tracker) Cancel() []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Request, 0, len(t.requests))
	for r := range t.requests {
		r.cancel()
		out = append(out, Request{ID: r.ID, Route: r.Route, End: r.End, IsSent: r.IsSent})
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Refused returns the number of requests that SetLatestEnd has excluded.
func (t *Tracker) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Describe returns a text on requests that were cut off at the given time, which names the first ones.
func Describe(now yuccahinge.Millis, requests []Request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d in flight", len(requests))
	for i, r := range requests[:min(len(requests), maxDescribed)] {
		state := "not sent"
		if r.IsSent {
			state = "sent"
		}
		separator := "; "
		if i == 0 {
			separator = ": "
		}
		fmt.Fprintf(&b, "%s%s on %s, %s, due in %.0f ms", separator, r.ID, r.Route, state, float64(r.End-now))
	}
	return b.String()
}
