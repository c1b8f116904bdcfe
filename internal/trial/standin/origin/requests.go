package origin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Arrival is a request or a health check that arrived at a searcher.
type Arrival struct {
	// Attempt is the attempt id that the caller chose, empty for a health check.
	Attempt string
	At      time.Time
	// Deadline is the time that the request may take; HasDeadline is false if the request does not name it.
	Deadline    yuccahinge.Millis
	HasDeadline bool
	// Ran reports whether the searcher began to work on the request.
	Ran bool
	// Leaving reports whether the answer says that the searcher leaves.
	Leaving bool
	// RetryAfter is set if the request was turned away with Retry-After.
	RetryAfter string
}

// arrivalLog holds what arrived. The zero value is empty and ready to use.
type arrivalLog struct {
	mu  sync.Mutex
	all []*Arrival
}

// add records an arrival.
func (l *arrivalLog) add(a *Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// markRan records that the searcher begins to work on a request.
func (l *arrivalLog) markRan(a *Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Ran = true
}

// newArrival returns the arrival of a request now.
func (s *Server) newArrival(r *http.Request) *Arrival {
	a := &Arrival{Attempt: r.Header.Get(HeaderAttemptID), At: time.Now(), Leaving: s.leaving.Load()}
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderDeadlineMs), 64); err == nil {
		a.Deadline, a.HasDeadline = yuccahinge.Millis(ms), true
	}
	if text := s.retryAfter.Load(); text != nil {
		a.RetryAfter = *text
	}
	return a
}

// ArrivalLog returns what arrived so far, in the order of arrival.
func (s *Server) ArrivalLog() []Arrival {
	s.arrivalLog.mu.Lock()
	defer s.arrivalLog.mu.Unlock()
	out := make([]Arrival, len(s.arrivalLog.all))
	for i, a := range s.arrivalLog.all {
		out[i] = *a
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return a.At.Compare(b.At) })
	return out
}

// Requests returns the requests that arrived, refused ones included and health checks left out, in order.
func (s *Server) Requests() []Arrival {
	return slices.DeleteFunc(s.ArrivalLog(), func(a Arrival) bool { return a.Attempt == "" })
}
