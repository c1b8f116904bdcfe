// Package origin provides a stand-in for a searcher that answers HTTP requests with fixed-size records and signs each answer.
package origin

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The size of an answer.
const (
	// RecordBytes is the size of a record.
	RecordBytes = 16
	// RecordCount is the number of records in an answer.
	RecordCount = 8
)

// Header fields of requests and answers.
const (
	HeaderAttemptID      = "Yuccahinge-Attempt-Id"
	HeaderDeadlineMs     = "Yuccahinge-Deadline-Ms"
	HeaderTargetInstance = "Yuccahinge-Target-Instance"
	HeaderServerStamp    = "Yuccahinge-Server-Stamp"
	HeaderPartStamps     = "Yuccahinge-Part-Stamps"
	HeaderMissingParts   = "Yuccahinge-Missing-Parts"
	HeaderMaxRate        = "Server-Limit"
	// HeaderServiceTimeMs holds the service time of one request, in place of that of the server.
	HeaderServiceTimeMs = "Service-Time-Ms"
)

// RunLog counts how often each attempt arrived at and ran on any searcher. The zero value is empty and ready to use.
type RunLog struct {
	mu       sync.Mutex
	runs     map[string]int
	arrivals map[string]int
}

// RecordArrival counts an arrival of an attempt.
func (l *RunLog) RecordArrival(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[string]int)
	}
	l.arrivals[attempt]++
}

// Arrivals returns how often an attempt arrived.
func (l *RunLog) Arrivals(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[attempt]
}

// RecordRun counts a run of an attempt.
func (l *RunLog) RecordRun(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[attempt]++
}

// Runs returns how often an attempt ran.
func (l *RunLog) Runs(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[attempt]
}

// Server is one instance of a searcher, from a start to its end. Set all exported fields, then call Serve.
type Server struct {
	// ID names the instance; a request for another target instance gets status 421.
	ID      string
	Service string
	Slots   int
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration
	RunLog      *RunLog
	// CrashLog records the requests that crash searchers; nil means that none does. OnCrash, which must be set then, ends
	// the searcher.
	CrashLog *CrashLog
	OnCrash  func()

	running atomic.Int64
	queued  atomic.Int64
	slots   chan struct{}
	// slowFactor multiplies the service time. One request in shedEvery is refused; zero refuses none.
	slowFactor   atomic.Int64
	shedEvery    atomic.Int64
	requestCount atomic.Int64
	noReply      atomic.Bool
	maxRate      atomic.Pointer[string]
	arrivals     arrivals
	leaving      atomic.Bool
	retryAfter   atomic.Pointer[string]
	arrivalLog   arrivalLog
	cuts         cuts
}

// maxQueued is the maximum number of requests that wait for a slot.
const maxQueued = 12

// SetSlowFactor multiplies the service time of each request by factor; zero and one have no effect.
func (s *Server) SetSlowFactor(factor int64) { s.slowFactor.Store(factor) }

// SetShedEvery refuses one request in n, or none if n is zero.
func (s *Server) SetShedEvery(n int64) { s.shedEvery.Store(n) }

// SetNoReply makes requests run without an answer; each ends when its caller disconnects.
func (s *Server) SetNoReply(noReply bool) { s.noReply.Store(noReply) }

// Serve answers requests on a listener until ctx ends, then closes all connections without finishing open requests.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	s.slots = make(chan struct{}, s.Slots)
	httpServer := &http.Server{Handler: http.HandlerFunc(s.handle)}
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	defer stop()
	_ = httpServer.Serve(l) // returns only when ctx ends
}

// Sign returns the signature of a searcher's answer to an attempt: service, id and a digest, separated by dots.
func Sign(id, service, attempt string) string {
	sum := sha256.Sum256([]byte(id + "/" + attempt))
	return fmt.Sprintf("%s.%s.%x", service, id, sum[:6])
}

// Answer returns the records with which a service answers an attempt. They are the same for all searchers of a service.
func Answer(service, attempt string) []byte {
	var records []byte
	for i := range RecordCount {
		sum := sha256.Sum256([]byte(service + "/" + attempt + "/" + strconv.Itoa(i)))
		records = append(records, sum[:RecordBytes]...)
	}
	return records
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Yuccahinge-Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.queued.Load(), s.Slots))
	s.arrivals.add(time.Now())
	if rate := s.maxRate.Load(); rate != nil {
		h.Set(HeaderMaxRate, *rate)
	}
	arrival := s.newArrival(r)
	s.arrivalLog.add(arrival)
	if refuse(w, arrival) {
		return
	}
	if r.URL.Path == "/health" {
		h.Set("Yuccahinge-Instance", s.ID)
		return
	}
	attempt := r.Header.Get(HeaderAttemptID)
	h.Set(HeaderAttemptID, attempt)
	s.RunLog.RecordArrival(attempt)
	if r.Header.Get(HeaderTargetInstance) != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crash, fails := s.CrashLog.add(r, s.ID)
	if n := s.shedEvery.Load(); n > 0 && s.requestCount.Add(1)%n == 0 || !s.acquireSlot(r.Context()) {
		h.Set("Yuccahinge-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.RunLog.RecordRun(attempt)
	s.arrivalLog.markRan(arrival)
	if fails {
		h.Set(HeaderServerStamp, Sign(s.ID, s.Service, attempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if crash != nil {
		s.crash(crash)
	}
	s.execute(r)
	if s.noReply.Load() {
		<-r.Context().Done()
		return
	}
	h.Set(HeaderServerStamp, Sign(s.ID, s.Service, attempt))
	answer := Answer(s.Service, attempt)
	if s.cuts.cut(w, answer) {
		return
	}
	_, _ = w.Write(answer) // fails only if the caller has disconnected
}

// execute waits for the service time, or until the caller disconnects.
func (s *Server) execute(r *http.Request) {
	serviceTime := s.ServiceTime
	if ms, err := strconv.Atoi(r.Header.Get(HeaderServiceTimeMs)); err == nil {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(serviceTime * time.Duration(max(1, s.slowFactor.Load())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// acquireSlot waits for a slot. It reports false if maxQueued requests wait already or ctx ends first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	if s.queued.Add(1) > maxQueued {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.running.Add(-1)
	<-s.slots
}
