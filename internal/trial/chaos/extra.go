package chaos

import (
	"math"
	"slices"
	"time"
)

// extraLimit bounds the arrivals beyond the first of each request at all searchers of a service together, in each window.
type extraLimit struct {
	window time.Duration
	// ratio is the number of such arrivals that each request allows, and slack how many are allowed besides.
	ratio, slack float64
}

// traffic holds the instants of the requests for a service and those of the arrivals beyond the first of each request, all
// as the time since the start of the run, ascending.
type traffic struct {
	requests, extra []time.Duration
}

// windowCount holds the counts of one window of a service.
type windowCount struct {
	service string
	// end is the end of the window.
	end time.Duration
	// extra is the number of arrivals beyond the first of each request, and allowed their limit.
	extra   int
	allowed float64
	// requests is the number of requests that the limit counts.
	requests int
}

// load returns the share of the limit that was used; above one it is broken.
func (w *windowCount) load() float64 {
	if w.extra == 0 {
		return 0
	}
	return float64(w.extra) / w.allowed
}

// counter counts the instants in a span of fixed length whose end only moves forward.
type counter struct {
	instants []time.Duration
	// The span begins at end-from and ends at end-to.
	from, to time.Duration
	// first and next are the indexes of the first instant in the span and of the first one after it.
	first, next int
}

// advance moves the span to a new end, which belongs to it, and returns the number of instants.
func (c *counter) advance(end time.Duration) int {
	for c.next < len(c.instants) && c.instants[c.next] <= end-c.to {
		c.next++
	}
	for c.first < c.next && c.instants[c.first] < end-c.from {
		c.first++
	}
	return c.next - c.first
}

// change returns the next end at which the count changes.
func (c *counter) change() time.Duration {
	at := time.Duration(math.MaxInt64)
	if c.next < len(c.instants) {
		at = c.instants[c.next] + c.to
	}
	if c.first < c.next {
		at = min(at, c.instants[c.first]+c.from+1)
	}
	return at
}

// closest returns the window that uses the largest share of the limit. Requests are counted in the window, in the one before
// it or in the one half a window before it, whichever has most.
func (l *extraLimit) closest(t *traffic) windowCount {
	w := l.window
	extra := counter{instants: t.extra, from: w}
	spans := []*counter{
		{instants: t.requests, from: w},
		{instants: t.requests, from: 2 * w, to: w},
		{instants: t.requests, from: w + w/2, to: w / 2},
	}
	most := windowCount{allowed: l.slack}
	if len(t.extra) == 0 {
		return most
	}
	for end := t.extra[0]; end < math.MaxInt64; {
		at := windowCount{end: end, extra: extra.advance(end)}
		next := extra.change()
		for _, s := range spans {
			at.requests = max(at.requests, s.advance(end))
			next = min(next, s.change())
		}
		at.allowed = l.ratio*float64(at.requests) + l.slack
		if at.load() > most.load() {
			most = at
		}
		end = next
	}
	return most
}

// newTraffic returns the traffic of a service, given the instants of its requests and those of all arrivals by request.
func newTraffic(requests []time.Duration, arrivals map[string][]time.Duration) *traffic {
	t := &traffic{requests: requests}
	for _, instants := range arrivals {
		slices.Sort(instants)
		t.extra = append(t.extra, instants[1:]...)
	}
	slices.Sort(t.requests)
	slices.Sort(t.extra)
	return t
}
