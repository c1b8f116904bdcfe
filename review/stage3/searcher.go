package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Header fields of the protocol.
const (
	headerAttempt  = "Yuccahinge-Attempt-Id"
	headerDeadline = "Yuccahinge-Deadline-Ms"
	headerTarget   = "Yuccahinge-Target-Instance"
	headerStamp    = "Yuccahinge-Server-Stamp"
	headerLoad     = "Yuccahinge-Server-Load"
	headerInstance = "Yuccahinge-Instance"
	headerNotRun   = "Yuccahinge-Not-Run"
)

const (
	// maxQueued is how many requests wait for a slot.
	maxQueued   = 12
	recordBytes = 16
	// sweepRecords makes parts of about 1,000 bytes.
	sweepRecords = 62
)

// searcher is one searcher of a service. Set the fields up to born before serve.
type searcher struct {
	id, service, zone string
	slots             int
	// work returns how long a run takes.
	work func() time.Duration
	// records is the number of records in a part.
	records int
	born    int64

	addr string
	free chan struct{}
	// bytesPerSecond is how fast bodies are read; zero means at once.
	bytesPerSecond atomic.Int64
	running        atomic.Int64
	queued         atomic.Int64
	// isDark means that it is silent: it answers nothing and doesn't write to the store.
	isDark atomic.Bool
	// onRun, if set, is called when a run begins, before the work.
	onRun  func(r *http.Request)
	server *http.Server
}

// sweepWork returns the work of a run as on the site kontspis-hladanie: 11 ms in the mean, and five times as much for one in a hundred.
func sweepWork() time.Duration {
	const mean, spread, tail, tailX, most = 11.0, 0.35, 0.01, 5.0, 82.0
	ms := mean * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	if rand.Float64() < tail {
		ms *= tailX
	}
	return time.Duration(min(ms, most) * float64(time.Millisecond))
}

// serve answers requests on a new port until ctx ends.
func (s *searcher) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.serveOn(ctx, l)
	return nil
}

// serveOn answers requests on a listener until ctx ends.
func (s *searcher) serveOn(ctx context.Context, l net.Listener) {
	s.addr = l.Addr().String()
	s.free = make(chan struct{}, s.slots)
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle)}
	context.AfterFunc(ctx, func() { _ = s.server.Close() })
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
}

func (s *searcher) handle(w http.ResponseWriter, r *http.Request) {
	if s.isDark.Load() {
		<-r.Context().Done() // the caller has left
		return
	}
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", s.running.Load(), s.queued.Load(), s.slots))
	if r.URL.Path == "/health" {
		h.Set(headerInstance, s.id)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, attempt)
	if r.Header.Get(headerTarget) != s.id {
		h.Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := s.readBody(r); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft(r))
	defer cancel()
	if !s.acquire(ctx) {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if s.onRun != nil {
		s.onRun(r)
	}
	h.Set(headerStamp, s.stamp(attempt))
	if !s.run(ctx) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = w.Write(answer(s.service, attempt, s.records)) // fails only if the caller has left
}

// run works on a request and reports whether the work was done before ctx ended.
func (s *searcher) run(ctx context.Context) bool {
	t := time.NewTimer(s.work())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readBody reads the body of a request.
func (s *searcher) readBody(r *http.Request) error {
	const piecesPerSecond = 20
	for {
		speed := s.bytesPerSecond.Load()
		if speed <= 0 {
			_, err := io.Copy(io.Discard, r.Body)
			return err
		}
		n, err := io.CopyN(io.Discard, r.Body, speed/piecesPerSecond)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Second * time.Duration(n) / time.Duration(speed))
	}
}

// timeLeft returns how long the caller waits.
func timeLeft(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return 10 * time.Second
	}
	return time.Duration(n) * time.Millisecond
}

// acquire waits for a slot. It reports false if the queue is full or ctx ends first.
func (s *searcher) acquire(ctx context.Context) bool {
	select {
	case s.free <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	if s.queued.Add(1) > maxQueued {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.free <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *searcher) release() {
	s.running.Add(-1)
	<-s.free
}

// stamp returns the signature of an answer to an attempt.
func (s *searcher) stamp(attempt string) string {
	sum := sha256.Sum256([]byte(s.id + "/" + attempt))
	return fmt.Sprintf("%s.%s.%x", s.service, s.id, sum[:6])
}

// answer returns the records of a service for an attempt.
func answer(service, attempt string, records int) []byte {
	out := make([]byte, 0, records*recordBytes)
	for i := range records {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, attempt, i))
		out = append(out, sum[:recordBytes]...)
	}
	return out
}
