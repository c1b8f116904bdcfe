package chaos

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// sentRequests holds the requests of all callers. The zero value is empty and ready to use.
type sentRequests struct {
	mu   sync.Mutex
	list []*sentRequest
}

// sentRequest is a request of a caller.
type sentRequest struct {
	host           *host
	route, attempt string
	at             time.Time
	// deadline is the deadline that the request names, or the timeout of its route if it names none.
	deadline time.Duration
	// version is the newest configuration when the request was sent.
	version int64

	mu sync.Mutex
	// isUnsent is set if no connection to the host could be opened.
	isUnsent bool
}

func (q *sentRequests) add(h *host, a *answer, at time.Time, version int64) *sentRequest {
	r := &sentRequest{host: h, route: a.route, attempt: a.attempt, at: at, deadline: a.deadline, version: version}
	if r.deadline == 0 {
		r.deadline = timeoutOf(a.route)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, r)
	return r
}

// end records the outcome of the request.
func (r *sentRequest) end(err error) {
	var opErr *net.OpError
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isUnsent = errors.As(err, &opErr) && opErr.Op == "dial"
}

func (r *sentRequest) wasSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isUnsent
}

// requests returns the requests that were sent, without those for which no connection could be opened.
func (q *sentRequests) requests() []*sentRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(q.list), func(r *sentRequest) bool { return !r.wasSent() })
}
