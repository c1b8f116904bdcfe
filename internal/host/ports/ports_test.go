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

// startServer starts a server whose handler of /wait sends to began and then waits for proceed. ended gets the result of
// ServeHTTP.
func startServer(ctx context.Context, t *testing.T) (s *http.Server, addr string, began, proceed chan bool, ended chan error) {
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

func sendGet(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func readBody(br *bufio.Reader) (string, error) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// TestRequestReadBeforeShutdownIsAnswered checks a request that arrives on a kept-alive connection just before Shutdown.
func TestRequestReadBeforeShutdownIsAnswered(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s, addr, began, proceed, ended := startServer(ctx, t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	sendGet(t, c, "/")
	if got, err := readBody(r); got != "whole" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	sendGet(t, c, "/wait")
	<-began
	finished := make(chan error, 1)
	go func() { finished <- Shutdown(t.Context(), s) }()
	proceed <- true
	if got, err := readBody(r); got != "whole" || err != nil {
		t.Errorf("a request that was read before Shutdown got %q, %v", got, err)
	}
	if err := <-finished; err != nil {
		t.Error(err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestShutdownReturnsAtItsDeadline(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s, addr, began, proceed, ended := startServer(ctx, t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sendGet(t, c, "/wait")
	<-began
	shutdownCtx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if err := Shutdown(shutdownCtx, s); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	close(proceed)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
