package origin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// CrashPath is a part of the paths of requests that crash each searcher that begins to run them.
const CrashPath = "/crash"

// CrashArrival is the arrival of a request with CrashPath at a searcher.
type CrashArrival struct {
	// Path names the request; Attempt is the id of one of its repetitions.
	Path, Attempt string
	// Searcher is the instance, and Crashed reports whether it began to run the request.
	Searcher string
	Crashed  bool
	At       time.Time
	// CrashedAt is when the searcher crashed; zero if it has not.
	CrashedAt time.Time
}

// CrashLog holds the arrivals of requests with CrashPath at any searcher. The zero value is empty and ready to use.
type CrashLog struct {
	// FailEvery, if it is not zero, is the number of arrivals of which one is answered with a failure before it crashes the searcher.
	FailEvery int
	// Delay returns how long a searcher runs the request with a path until it crashes; nil means no time.
	Delay func(path string) time.Duration

	mu       sync.Mutex
	arrivals []*CrashArrival
}

// Arrivals returns the arrivals so far, in order.
func (l *CrashLog) Arrivals() []CrashArrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]CrashArrival, 0, len(l.arrivals))
	for _, a := range l.arrivals {
		out = append(out, *a)
	}
	slices.SortStableFunc(out, func(x, y CrashArrival) int { return x.At.Compare(y.At) })
	return out
}

// add records the arrival of a request, or returns nil if the request crashes no searcher. It reports whether the searcher fails
// first.
func (l *CrashLog) add(r *http.Request, searcher string) (a *CrashArrival, fails bool) {
	if l == nil || !strings.Contains(r.URL.Path, CrashPath) {
		return nil, false
	}
	a = &CrashArrival{Path: r.URL.Path, Attempt: r.Header.Get(HeaderAttemptID), Searcher: searcher, At: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
	return a, l.FailEvery > 0 && len(l.arrivals)%l.FailEvery == 0
}

// crash ends the searcher that has begun to run a request, after a delay even if its caller has disconnected by then.
func (s *Server) crash(a *CrashArrival) {
	if s.CrashLog.Delay != nil {
		time.Sleep(s.CrashLog.Delay(a.Path))
	}
	s.CrashLog.mu.Lock()
	a.Crashed, a.CrashedAt = true, time.Now()
	s.CrashLog.mu.Unlock()
	s.OnCrash()
	panic(http.ErrAbortHandler)
}
