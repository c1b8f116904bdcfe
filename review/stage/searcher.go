package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

// Header fields of the platform's protocol.
const (
	headerAttempt  = "Yuccahinge-Attempt-Id"
	headerDeadline = "Yuccahinge-Deadline-Ms"
	headerTarget   = "Yuccahinge-Target-Instance"
	headerStamp    = "Yuccahinge-Server-Stamp"
	headerNotRun   = "Yuccahinge-Not-Run"
	headerInstance = "Yuccahinge-Instance"
	headerLoad     = "Yuccahinge-Server-Load"
)

// heartbeat is the time between two writes of a searcher's entry.
const heartbeat = 1200 * time.Millisecond

// searcher is a stand-in for a searcher. It answers as the pages say, except where answer says otherwise.
type searcher struct {
	stage             *stage
	id, service, zone string
	slots             int
	work              time.Duration
	// answer, if set, answers a request that has begun to run, and reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request, attempt string) bool
	// onArrival, if set, is called with each request that arrives.
	onArrival func(attempt string)

	addr     string
	server   *http.Server
	born     int64
	sequence atomic.Int64
	draining atomic.Bool
	silent   atomic.Bool // writes no heartbeats any more
	running  atomic.Int64
	free     chan struct{}
	waiting  atomic.Int64
}

func (s *searcher) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.born = time.Now().UnixMilli()
	s.free = make(chan struct{}, s.slots)
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 30 * time.Second}
	go func() { _ = s.server.Serve(l) }() // returns when the searcher ends
	s.write()
	go func() {
		for !s.silent.Load() {
			time.Sleep(heartbeat)
			if !s.silent.Load() {
				s.write()
			}
		}
	}()
	return nil
}

// write writes the entry of the searcher into the store.
func (s *searcher) write() {
	s.stage.store.PutSearcher(s.id, store.Searcher{
		Service: s.service, Addr: s.addr, Domain: s.zone, Slots: s.slots, Draining: s.draining.Load(),
		Sequence: s.sequence.Add(1), Generation: s.born,
	})
}

// maxWaiting is the number of requests that wait for a slot before the searcher is full.
const maxWaiting = 16

func (s *searcher) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
	if r.URL.Path == "/health" {
		h.Set(headerInstance, s.id)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, attempt)
	s.stage.record.arrival(s, attempt)
	if s.onArrival != nil {
		s.onArrival(attempt)
	}
	if r.Header.Get(headerTarget) != s.id {
		h.Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.waiting.Add(1) > maxWaiting {
		s.waiting.Add(-1)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.free <- struct{}{}:
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.waiting.Add(-1)
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-s.free }()
	s.stage.record.run(s, attempt)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.answer != nil && s.answer(w, r, attempt) {
		return
	}
	h.Set(headerStamp, stamp(s.id, attempt))
	_, _ = io.WriteString(w, body(s.id, attempt)) // fails only if the host has disconnected
}

func stamp(id, attempt string) string {
	sum := sha256.Sum256([]byte(id + "/" + attempt))
	return fmt.Sprintf("%s.%x", id, sum[:6])
}

func body(id, attempt string) string { return strings.Repeat(stamp(id, attempt), 4) }

// record is the record of what was sent, run and answered.
type record struct {
	mu       sync.Mutex
	start    time.Time
	out      io.Writer
	arrivals map[string][]string
	runs     map[string][]string
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *record) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) arrival(s *searcher, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[attempt] = append(r.arrivals[attempt], s.id)
	r.print("searcher %s of %s received %s", s.id, s.service, attempt)
}

func (r *record) run(s *searcher, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], s.id)
	r.print("searcher %s of %s runs %s", s.id, s.service, attempt)
}

// ranOn returns the searchers that began to run an attempt.
func (r *record) ranOn(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}
