package ports

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve starts a server whose handler waits for a word, and returns its address and how it ends.
func serve(ctx context.Context, t *testing.T) (s *http.Server, addr string, began, proceed chan bool, ended chan error) {
	t.Helper()
	began, proceed, ended = make(chan bool), make(chan bool), make(chan error, 1)
	s = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			began <- true
			<-proceed
		}
		_, _ = io.WriteString(w, "whole")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- ServeHTTP(ctx, s, l) }()
	return s, l.Addr().String(), began, proceed, ended
}

func ask(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func answer(in *bufio.Reader) (string, error) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// TestRequestThatCrossesTheEndIsAnswered has a request arrive on a kept connection just before the server ends.
func TestRequestThatCrossesTheEndIsAnswered(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s, addr, began, proceed, ended := serve(ctx, t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	ask(t, c, "/")
	if got, err := answer(in); got != "whole" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	ask(t, c, "/wait")
	<-began
	finished := make(chan error, 1)
	go func() { finished <- Finish(t.Context(), s) }()
	proceed <- true
	if got, err := answer(in); got != "whole" || err != nil {
		t.Errorf("%q, %v of a request that was read before the end", got, err)
	}
	if err := <-finished; err != nil {
		t.Error(err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestFinishGivesUpAtItsDeadline(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s, addr, began, proceed, ended := serve(ctx, t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ask(t, c, "/wait")
	<-began
	limit, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if err := Finish(limit, s); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	close(proceed)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
