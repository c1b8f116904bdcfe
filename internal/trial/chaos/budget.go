package chaos

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

const (
	// maxOverrun is the number of requests that may run on more searchers of a service than the attempts of their route.
	maxOverrun = 3
	// deadlineTolerance is how much longer than that of the caller the deadline of a call may be, and how long after
	// the first call of a request another one counts as late.
	deadlineTolerance = 500 * time.Millisecond
	// Calls with too long a deadline break the limit if there are more than maxLongDeadlines, and if they are more than
	// maxLongDeadlineShare of these and the late repeated calls together.
	maxLongDeadlines     = 20
	maxLongDeadlineShare = 0.2
)

// budgetCheck compares what arrived at the searchers with what callers sent.
type budgetCheck struct {
	limit extraLimit
	start time.Time
	lag   *lag
	sent  map[string]*sentRequest

	closest    windowCount
	violations []string
	// overrun holds the requests that ran on too many searchers.
	overrun []string
	// longDeadlines describes calls with too long a deadline. lateRepeats counts the calls sent late after the first.
	longDeadlines []string
	lateRepeats   int
}

// call is the arrival of a request at a searcher.
type call struct {
	origin.Arrival
	searcher *searcher
}

// checkBudget checks the extra attempts, attempts and deadlines at all searchers.
func (x *Experiment) checkBudget() *budgetCheck {
	b := &budgetCheck{
		limit: extraLimit{window: extraWindow, ratio: extraRatio, slack: x.Shape.slack()},
		start: x.start, lag: &x.lag, sent: make(map[string]*sentRequest),
	}
	b.closest.allowed = b.limit.slack
	sent := x.sent.requests()
	for _, r := range sent {
		b.sent[r.attempt] = r
	}
	calls := x.env.calls()
	for _, service := range x.Shape.services() {
		b.checkService(service, requestsFor(service, sent, calls[service]), calls[service])
	}
	b.checkTotals()
	return b
}

// calls returns the calls to each service by request.
func (e *environment) calls() map[string]map[string][]call {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]map[string][]call)
	for _, s := range slices.Concat(e.searchers, e.removed) {
		calls := out[s.server.Service]
		if calls == nil {
			calls = make(map[string][]call)
			out[s.server.Service] = calls
		}
		for _, a := range s.server.Requests() {
			calls[a.Attempt] = append(calls[a.Attempt], call{Arrival: a, searcher: s})
		}
	}
	return out
}

// requestsFor returns the requests on routes to the service, according to the newest configuration when they were sent or to
// the searchers at which they arrived.
func requestsFor(service string, sent []*sentRequest, calls map[string][]call) []*sentRequest {
	var out []*sentRequest
	for _, r := range sent {
		isTarget := r.route == service || r.route == "read" && readService(r.version) == service ||
			r.route == "wide" && strings.HasPrefix(service, "wide")
		if isTarget || len(calls[r.attempt]) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (b *budgetCheck) checkService(service string, requests []*sentRequest, calls map[string][]call) {
	var sentAt []time.Duration
	for _, r := range requests {
		sentAt = append(sentAt, r.at.Sub(b.start))
	}
	arrivals := make(map[string][]time.Duration)
	for attempt, list := range calls {
		slices.SortFunc(list, func(x, y call) int { return x.At.Compare(y.At) })
		for _, c := range list {
			arrivals[attempt] = append(arrivals[attempt], c.At.Sub(b.start))
		}
		if r := b.sent[attempt]; r != nil {
			b.checkRequest(service, r, list)
		}
	}
	w := b.limit.closest(newTraffic(sentAt, arrivals))
	w.service = service
	if w.load() > b.closest.load() {
		b.closest = w
	}
	if w.load() > 1 {
		b.violations = append(b.violations, "too many extra attempts: "+w.String())
	}
}

func (w *windowCount) String() string {
	return fmt.Sprintf("service %s got %d arrivals beyond the first of each request in the %v up to %.2f s; %d requests allow %.1f (%.0f%%)",
		w.service, w.extra, extraWindow, w.end.Seconds(), w.requests, w.allowed, 100*w.load())
}

// checkRequest checks the calls of one request to one service, which are in order.
func (b *budgetCheck) checkRequest(service string, r *sentRequest, calls []call) {
	first, last := &calls[0], &calls[len(calls)-1]
	var ran []*searcher
	for i := range calls {
		c := &calls[i]
		if c.Ran && !slices.Contains(ran, c.searcher) && !c.searcher.disruptions.overlap(first.At, last.At) {
			ran = append(ran, c.searcher)
		}
		// A host that was disrupted shortly before may not know how much time is left, and a disrupted link or a lag of this
		// process delays what was sent in time.
		if !r.host.disruptions.overlap(r.at.Add(-contactTime), c.At) && !c.searcher.disruptions.overlap(c.At.Add(-contactTime), c.At) &&
			!b.lag.overlaps(c.At) {
			b.checkDeadline(service, r, first, c)
		}
	}
	if len(ran) > attempts {
		b.overrun = append(b.overrun, fmt.Sprintf("request %s on %d searchers of %s", r.attempt, len(ran), service))
	}
}

func (b *budgetCheck) checkDeadline(service string, r *sentRequest, first, c *call) {
	isLate := c.At.Sub(first.At) > deadlineTolerance
	if isLate {
		b.lateRepeats++
	}
	end := c.At.Add(c.Deadline.Duration())
	isBeyond := end.After(first.At.Add(first.Deadline.Duration()+deadlineTolerance)) && end.After(r.at.Add(r.deadline+deadlineTolerance))
	if !c.HasDeadline || c.Deadline.Duration() > r.deadline+deadlineTolerance || isLate && isBeyond {
		b.longDeadlines = append(b.longDeadlines, fmt.Sprintf("request %s at %s of %s, %.0f of %d ms, %d ms after it was sent and %d ms after the first call, which had %.0f ms",
			r.attempt, c.searcher.server.ID, service, c.Deadline, r.deadline.Milliseconds(), c.At.Sub(r.at).Milliseconds(),
			c.At.Sub(first.At).Milliseconds(), first.Deadline))
	}
}

// checkTotals checks the limits that hold for all services together.
func (b *budgetCheck) checkTotals() {
	if n := len(b.overrun); n > maxOverrun {
		b.violations = append(b.violations, fmt.Sprintf("%d requests ran on more than %d searchers of a service: %s", n, attempts, examples(b.overrun)))
	}
	n := len(b.longDeadlines)
	if n > maxLongDeadlines && float64(n) > maxLongDeadlineShare*float64(n+b.lateRepeats) {
		b.violations = append(b.violations, fmt.Sprintf("%d calls, beside %d late repeats, have too long a deadline: %s", n, b.lateRepeats, examples(b.longDeadlines)))
	}
}

// examples returns the first few items of a list.
func examples(list []string) string { return strings.Join(list[:min(len(list), 3)], "; ") }
