// Package part provides the stand-in of a searcher that answers whole requests with records and signs its answers.
package part

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

// RecordBytes is the size of a record, and Records the number of records of an answer.
const (
	RecordBytes = 16
	Records     = 8
)

// The headers of requests and answers.
const (
	HeaderAttempt  = "Yuccahinge-Attempt-Id"
	HeaderDeadline = "Yuccahinge-Deadline-Ms"
	HeaderTarget   = "Yuccahinge-Target-Instance"
	HeaderStamp    = "Yuccahinge-Server-Stamp"
	HeaderParts    = "Yuccahinge-Part-Stamps"
	HeaderMissing  = "Yuccahinge-Missing-Parts"
)

// Log counts how often each attempt ran, over all searchers.
type Log struct {
	mu   sync.Mutex
	runs map[string]int
}

// Ran notes a run.
func (l *Log) Ran(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[attempt]++
}

// Runs returns how often an attempt ran.
func (l *Log) Runs(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[attempt]
}

// Part is one life of a searcher. Set ID, Service, Slots, Work and Log, then call Serve.
type Part struct {
	ID      string
	Service string
	Slots   int
	Work    time.Duration
	Log     *Log

	running atomic.Int64
	waiting atomic.Int64
	slots   chan struct{}
	// slow multiplies the work, and shed refuses one request in so many; zero for none.
	slow atomic.Int64
	shed atomic.Int64
	n    atomic.Int64
	mute atomic.Bool
}

// queueLength bounds the requests that wait for a slot.
const queueLength = 12

// SetSlow multiplies the work of each request; SetShed refuses one in n; SetMute answers nothing.
func (p *Part) SetSlow(x int64) { p.slow.Store(x) }

// SetShed refuses one request in n, or none for zero.
func (p *Part) SetShed(n int64) { p.shed.Store(n) }

// SetMute lets requests run without an answer.
func (p *Part) SetMute(mute bool) { p.mute.Store(mute) }

// Serve answers on a listener until ctx ends, then resets what is open.
func (p *Part) Serve(ctx context.Context, l net.Listener) {
	p.slots = make(chan struct{}, p.Slots)
	s := &http.Server{Handler: http.HandlerFunc(p.serve)}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	_ = s.Serve(l) // it ends with ctx only
}

// Sign returns the signature of a searcher's answer to an attempt.
func Sign(id, service, attempt string) string {
	sum := sha256.Sum256([]byte(id + "/" + attempt))
	return fmt.Sprintf("%s.%s.%x", service, id, sum[:6])
}

// Answer returns the records that a searcher of a service has for an attempt. All searchers of a service have the same.
func Answer(service, attempt string) []byte {
	var out []byte
	for i := range Records {
		sum := sha256.Sum256([]byte(service + "/" + attempt + "/" + strconv.Itoa(i)))
		out = append(out, sum[:RecordBytes]...)
	}
	return out
}

func (p *Part) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Yuccahinge-Server-Load", fmt.Sprintf("%d,%d,%d", p.running.Load(), p.waiting.Load(), p.Slots))
	if r.URL.Path == "/health" {
		h.Set("Yuccahinge-Instance", p.ID)
		return
	}
	attempt := r.Header.Get(HeaderAttempt)
	h.Set(HeaderAttempt, attempt)
	if r.Header.Get(HeaderTarget) != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n := p.shed.Load(); n > 0 && p.n.Add(1)%n == 0 || !p.enter(r.Context()) {
		h.Set("Yuccahinge-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	p.Log.Ran(attempt)
	p.work(r.Context())
	if p.mute.Load() {
		<-r.Context().Done()
		return
	}
	h.Set(HeaderStamp, Sign(p.ID, p.Service, attempt))
	_, _ = w.Write(Answer(p.Service, attempt)) // a caller that has gone needs no answer
}

func (p *Part) work(ctx context.Context) {
	t := time.NewTimer(p.Work * time.Duration(max(1, p.slow.Load())))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// enter waits for a slot unless too many wait already.
func (p *Part) enter(ctx context.Context) bool {
	if p.waiting.Add(1) > queueLength {
		p.waiting.Add(-1)
		return false
	}
	defer p.waiting.Add(-1)
	select {
	case p.slots <- struct{}{}:
		p.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Part) leave() {
	p.running.Add(-1)
	<-p.slots
}
