package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns a new attempt id.
func newAttempt() string {
	return fmt.Sprintf("%04x%012x", time.Now().UnixNano()&0xffff, attempts.Add(1))
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call is one request of a caller, on a connection of its own.
type call struct {
	method, path, id string
	deadline         time.Duration
	body             []byte
}

func (c *call) encode() []byte {
	out := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nYuccahinge-Attempt-Id: %s\r\nYuccahinge-Deadline-Ms: %d\r\n", c.method, c.path, callerHost, c.id, c.deadline.Milliseconds())
	if c.method != http.MethodGet {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(c.body))
	}
	out = append(out, "\r\n"...)
	return append(out, c.body...)
}

// send sends the request to a host and waits for the answer until the caller's deadline.
func (c *call) send(ctx context.Context, addr string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(c.encode()); err != nil {
		return nil, err
	}
	return readAnswer(bufio.NewReader(conn), c.method)
}

func readAnswer(in *bufio.Reader, method string) (*answer, error) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &answer{resp.StatusCode, resp.Header, body}, nil
}
