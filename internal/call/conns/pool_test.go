package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startSearcher listens on a loopback port and calls serve for each connection with its number, counted from 1.
func startSearcher(t *testing.T, serve func(c net.Conn, n int64, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, n.Add(1), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequestID reads a request and returns its Id field, or the empty string at the end of the connection.
func readRequestID(in *bufio.Reader) string {
	r, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id")
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func requestText(s string) func() []byte { return func() []byte { return []byte(s) } }

func newCall(addr, id string) *Call {
	return &Call{
		Addr: addr, MaxConns: 1, Method: http.MethodGet,
		Encode:  requestText("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := p.Do(ctx, newCall(addr, id))
	if err != nil {
		return "", err
	}
	return string(r.Body), nil
}

func TestConnectionIsReused(t *testing.T) {
	addr := startSearcher(t, func(c net.Conn, n int64, in *bufio.Reader) {
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+response(id, fmt.Sprint(id, " on ", n)))
		}
	})
	p := &Pool{}
	defer p.Close()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := do(t, p, addr, id); got != id+" on 1" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// TestResponseToAnotherCallIsSkipped sends a late response to an earlier call before the awaited one.
func TestResponseToAnotherCallIsSkipped(t *testing.T) {
	addr := startSearcher(t, func(c net.Conn, n int64, in *bufio.Reader) {
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			_, _ = io.WriteString(c, response("old", "stale")+response(id, fmt.Sprint(n)))
		}
	})
	p := &Pool{}
	defer p.Close()
	if got, err := do(t, p, addr, "a"); got != "1" {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestExtraBytesCloseTheConnection sends a second response, together with the awaited one or while the connection is
// idle. The next call would otherwise read it as its own.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1)
			addr := startSearcher(t, func(c net.Conn, n int64, in *bufio.Reader) {
				for id := readRequestID(in); id != ""; id = readRequestID(in) {
					_, _ = io.WriteString(c, response(id, fmt.Sprint(n)))
					time.Sleep(pause)
					_, _ = io.WriteString(c, response(id, "extra"))
				}
				ended <- struct{}{}
			})
			p := &Pool{}
			defer p.Close()
			if got, err := do(t, p, addr, "a"); got != "1" {
				t.Fatalf("%q, %v", got, err)
			}
			<-ended
			if got, err := do(t, p, addr, "a"); got != "2" {
				t.Fatalf("%q, %v", got, err)
			}
		})
	}
}

func TestMalformedResponsesAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"garbage":    "\x00\x01\x02 no response\r\n\r\n",
		"head only":  "HTTP/1.1 200 OK\r\nContent-Le",
		"bad chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
	} {
		addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
			readRequestID(in)
			_, _ = io.WriteString(c, raw)
		})
		p := &Pool{}
		if got, err := do(t, p, addr, "a"); err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %q, %v, want an error that is not ErrNotSent", name, got, err)
		}
	}
}

// TestBodyUntilCloseIsReadWhole sends responses without a length, whose body ends with the connection.
func TestBodyUntilCloseIsReadWhole(t *testing.T) {
	addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
		id := readRequestID(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole")
	})
	p := &Pool{}
	for range 2 {
		if got, err := do(t, p, addr, "a"); got != "whole" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

func TestConnectionLimitQueuesCalls(t *testing.T) {
	var inFlight, maxInFlight atomic.Int64
	addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			time.Sleep(time.Millisecond)
			inFlight.Add(-1)
			_, _ = io.WriteString(c, response(id, "x"))
		}
	})
	p := &Pool{}
	defer p.Close()
	errs := make(chan error, 20)
	for i := range cap(errs) {
		go func() {
			r := newCall(addr, fmt.Sprint(i))
			r.MaxConns = 2
			_, err := p.Do(t.Context(), r)
			errs <- err
		}()
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if maxInFlight.Load() > 2 {
		t.Fatalf("%d calls in flight at once, want at most 2", maxInFlight.Load())
	}
}

func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := do(t, &Pool{}, addr, "a"); !errors.Is(err, ErrNotSent) {
		t.Fatal(err)
	}
}

func TestCanceledContextClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	addr := startSearcher(t, func(_ net.Conn, _ int64, in *bufio.Reader) {
		readRequestID(in)
		readRequestID(in)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := (&Pool{}).Do(ctx, newCall(addr, "a")); !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
		t.Fatal(err)
	}
	<-ended
}

// TestResponseBeforeTheBodyIsWritten has the searcher respond before it reads a long body. The connection must not be
// reused until the whole body was written.
func TestResponseBeforeTheBodyIsWritten(t *testing.T) {
	const size = 8 << 20
	read := make(chan int, 1)
	addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(r.Header.Get("Id"), "early"))
		time.Sleep(20 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		read <- strings.Count(string(body), "x")
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			_, _ = io.WriteString(c, response(id, "second"))
		}
	})
	p := &Pool{}
	defer p.Close()
	long := newCall(addr, "a")
	long.Encode = requestText(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	r, err := p.Do(t.Context(), long)
	if err != nil || string(r.Body) != "early" {
		t.Fatalf("%v, %v", r, err)
	}
	if n := <-read; n != size {
		t.Fatalf("the searcher received %d bytes of the body", n)
	}
	if got, err := do(t, p, addr, "b"); got != "second" {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestAbandonedCallsAreNotSent abandons a call while it waits for the only connection, which another call uses, and one
// whose request is nil when a connection is available.
func TestAbandonedCallsAreNotSent(t *testing.T) {
	var received atomic.Int64
	release := make(chan struct{})
	addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			if received.Add(1) == 1 {
				<-release
			}
			_, _ = io.WriteString(c, response(id, "x"))
		}
	})
	p := &Pool{}
	defer p.Close()
	first := make(chan error, 1)
	go func() {
		_, err := do(t, p, addr, "a")
		first <- err
	}()
	for received.Load() == 0 {
		runtime.Gosched()
	}
	abandon := make(chan struct{})
	waiting := newCall(addr, "b")
	waiting.Abandoned = abandon
	second := make(chan error, 1)
	go func() {
		_, err := p.Do(t.Context(), waiting)
		second <- err
	}()
	close(abandon)
	if err := <-second; !errors.Is(err, ErrAbandoned) || !errors.Is(err, ErrNotSent) {
		t.Errorf("%v, want ErrAbandoned and ErrNotSent", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	late := newCall(addr, "c")
	late.Encode = func() []byte { return nil }
	if _, err := p.Do(t.Context(), late); !errors.Is(err, ErrAbandoned) || !errors.Is(err, ErrNotSent) {
		t.Errorf("%v of a call without a request, want ErrAbandoned and ErrNotSent", err)
	}
	if got, err := do(t, p, addr, "d"); got != "x" || err != nil || received.Load() != 2 {
		t.Errorf("%q, %v, the searcher received %d requests, want 2", got, err, received.Load())
	}
}

// TestCallsToAnAddressAreAbandoned guards against calls that wait for a connection to a searcher that gets none any more.
func TestCallsToAnAddressAreAbandoned(t *testing.T) {
	var received atomic.Int64
	release := make(chan struct{})
	addr := startSearcher(t, func(c net.Conn, _ int64, in *bufio.Reader) {
		for id := readRequestID(in); id != ""; id = readRequestID(in) {
			if received.Add(1) == 1 {
				<-release
			}
			_, _ = io.WriteString(c, response(id, "x"))
		}
	})
	p := &Pool{}
	defer p.Close()
	p.AbandonWaiting(addr)
	results := make(chan error, 4)
	call := func(id string) {
		_, err := do(t, p, addr, id)
		results <- err
	}
	go call("first")
	for received.Load() == 0 {
		runtime.Gosched()
	}
	for _, id := range []string{"a", "b", "c"} {
		go call(id)
	}
	for waiting := 0; waiting < 3; runtime.Gosched() {
		target := p.peer(addr)
		target.mu.Lock()
		waiting = len(target.waiting)
		target.mu.Unlock()
	}
	p.AbandonWaiting(addr)
	for range 3 {
		if err := <-results; !errors.Is(err, ErrAbandoned) || !errors.Is(err, ErrNotSent) {
			t.Errorf("%v, want ErrAbandoned and ErrNotSent", err)
		}
	}
	close(release)
	if err := <-results; err != nil {
		t.Errorf("%v of the call that was sent before", err)
	}
	if _, err := do(t, p, addr, "next"); err != nil || received.Load() != 2 {
		t.Errorf("%v of a later call, %d calls received, want 2", err, received.Load())
	}
}
