package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// recordCount is the number of records in an answer.
	recordCount = 25
	// leaveAfter is how long a searcher that drains goes on: drain_ms and a little longer.
	leaveAfter = 4 * time.Second
)

// searcher is a stand-in of a searcher that follows the platform's pages. Set the exported fields, then call system.addSearcher.
type searcher struct {
	ID, Service, Zone string
	// Slots is the number of requests that run at once, and Queue that of those that wait.
	Slots, Queue int
	// Work is how long a request takes.
	Work time.Duration
	// OnRun, if set, is called when the searcher begins to work on a request.
	OnRun func(a *arrival)
	// Take, if set, is called with each request first, and returns true if it has handled the request itself.
	Take func(c *searcherConn, a *arrival) bool

	addr     string
	record   *record
	extras   *extras // nil if the searcher sends no second answers
	born     int64
	sequence int64
	leaves   atomic.Bool // reports that it drains
	hasEnded atomic.Bool
	running  atomic.Int64
	waiting  atomic.Int64
	slots    chan struct{}
	cancel   context.CancelFunc
}

// arrival is a request at a searcher.
type arrival struct {
	*http.Request
	id       string
	searcher *searcher
	gone     <-chan struct{} // closed when the connection is closed
}

func (a *arrival) isHealthCheck() bool { return a.URL.Path == "/health" }

// searcherConn is a connection to a searcher.
type searcherConn struct {
	net.Conn
	in *bufio.Reader
}

// anyAddr returns an address for a searcher, with any port.
func (s *system) anyAddr() string { return s.net + ".251:0" }

// addSearcher starts a searcher at an address and registers it.
func (s *system) addSearcher(sr *searcher, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	sr.addr, sr.record, sr.cancel = l.Addr().String(), s.record, cancel
	sr.born = time.Now().UnixMilli()
	sr.slots = make(chan struct{}, sr.Slots)
	s.record.add("%s of %s starts at %s", sr.ID, sr.Service, sr.addr)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s.wg.Go(func() { sr.accept(ctx, l) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchers = append(s.searchers, sr)
	s.put(sr)
	return nil
}

// put writes the heartbeat of a searcher. The caller holds the lock.
func (s *system) put(sr *searcher) {
	sr.sequence++
	s.db.PutSearcher(sr.ID, store.Searcher{Service: sr.Service, Addr: sr.addr, Domain: sr.Zone, Slots: sr.Slots, Draining: sr.leaves.Load(), Sequence: sr.sequence, Generation: sr.born})
}

// beat writes the heartbeats of all searchers.
func (s *system) beat() {
	for s.ctx.Err() == nil {
		sleep(s.ctx, beatInterval)
		s.mu.Lock()
		for _, sr := range s.searchers {
			if !sr.hasEnded.Load() {
				s.put(sr)
			}
		}
		s.mu.Unlock()
	}
}

// crash ends a searcher for good. Its entry goes after three heartbeats of silence.
func (s *system) crash(sr *searcher) {
	s.record.add("%s at %s crashes", sr.ID, sr.addr)
	sr.hasEnded.Store(true)
	sr.cancel()
	time.AfterFunc(3*beatInterval, func() { s.db.DeleteSearcher(sr.ID) })
}

// leave lets a searcher drain and end.
func (s *system) leave(sr *searcher) {
	s.record.add("%s at %s leaves", sr.ID, sr.addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	sr.leaves.Store(true)
	s.put(sr)
	time.AfterFunc(leaveAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		sr.hasEnded.Store(true)
		s.db.DeleteSearcher(sr.ID)
		sr.cancel()
	})
}

// accept serves connections until ctx ends, which resets them.
func (sr *searcher) accept(ctx context.Context, l net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer context.AfterFunc(ctx, func() {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})()
			sr.serve(&searcherConn{Conn: c, in: bufio.NewReader(c)})
		})
	}
}

// serve answers the requests of a connection one after the other.
func (sr *searcher) serve(c *searcherConn) {
	defer c.Close()
	requests, gone, done := make(chan *arrival), make(chan struct{}), make(chan struct{})
	defer close(done)
	go func() {
		defer close(gone)
		for {
			a, err := sr.read(c, gone)
			if err != nil {
				return
			}
			select {
			case requests <- a:
			case <-done:
				return
			}
		}
	}()
	for {
		select {
		case a := <-requests:
			sr.extras.arrived(c, a)
			if sr.Take != nil && sr.Take(c, a) {
				return
			}
			if sr.answer(c, a) != nil {
				return
			}
		case <-gone:
			return
		}
	}
}

func (sr *searcher) read(c *searcherConn, gone <-chan struct{}) (*arrival, error) {
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	return &arrival{Request: req, id: req.Header.Get("Yuccahinge-Attempt-Id"), searcher: sr, gone: gone}, nil
}

// acquire waits for a slot. It reports false if the searcher is full or the time of the request has passed.
func (sr *searcher) acquire(a *arrival) bool {
	defer sr.waiting.Add(-1)
	if sr.waiting.Add(1) > int64(sr.Queue) {
		return false
	}
	limit := time.Minute
	if ms, err := strconv.Atoi(a.Header.Get("Yuccahinge-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case sr.slots <- struct{}{}:
		sr.running.Add(1)
		return true
	case <-t.C:
	case <-a.gone:
	}
	return false
}

func (sr *searcher) release() {
	sr.running.Add(-1)
	<-sr.slots
}

// answer handles a request as a sound searcher does. It echoes the id of the request, if there is one: a health check has none.
func (sr *searcher) answer(c *searcherConn, a *arrival) error {
	fields := ""
	if a.id != "" {
		fields = "Yuccahinge-Attempt-Id: " + a.id + "\r\n"
	}
	if target := a.Header.Get("Yuccahinge-Target-Instance"); target != "" && target != sr.ID {
		return sr.reply(c, "421 Misdirected Request", fields+"Yuccahinge-Instance: "+sr.ID+"\r\n", nil)
	}
	load := fmt.Sprintf("Yuccahinge-Server-Load: %d,%d,%d\r\n", sr.running.Load(), sr.waiting.Load(), sr.Slots)
	if !sr.acquire(a) {
		return sr.reply(c, "503 Service Unavailable", fields+"Yuccahinge-Not-Run: 1\r\n"+load, nil)
	}
	defer sr.release()
	if a.isHealthCheck() {
		return sr.reply(c, "200 OK", "Yuccahinge-Instance: "+sr.ID+"\r\n"+load, nil)
	}
	if sr.OnRun != nil {
		sr.OnRun(a)
	}
	t := time.NewTimer(sr.Work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.gone:
		return io.ErrUnexpectedEOF
	}
	return sr.reply(c, "200 OK", fields+"Yuccahinge-Server-Stamp: "+stampOf(sr.ID, a.id)+"\r\n"+load, recordsOf(sr.Service, a.id))
}

// reply writes a response with a length.
func (sr *searcher) reply(c *searcherConn, status, fields string, body []byte) error {
	text := append(fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, fields, len(body)), body...)
	_, err := c.Write(text)
	sr.extras.answered(c, text)
	return err
}

// stampOf returns a searcher's signature of an answer.
func stampOf(searcher, attempt string) string {
	sum := sha256.Sum256([]byte(searcher + "/" + attempt))
	return fmt.Sprintf("%s.%x", searcher, sum[:6])
}

// recordsOf returns the records with which a service answers a request.
func recordsOf(service, attempt string) []byte {
	var out []byte
	for i := range recordCount {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, attempt, i))
		out = append(out, sum[:16]...)
	}
	return out
}
