package system

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawCaller is a caller that writes and reads HTTP on one TCP connection itself, so that no HTTP client retries.
type rawCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, addr string) *rawCaller {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, waitLimit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return &rawCaller{conn: c, in: bufio.NewReader(c)}
}

// writeSearch writes a search without waiting for its answer.
func (c *rawCaller) writeSearch(t *testing.T, service string) {
	t.Helper()
	const body = `{"query":{"text":"permit"}}`
	_, err := fmt.Fprintf(c.conn, "POST /v1/search/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", service, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}

// readAnswer reads the answer to the oldest request that has none yet.
func (c *rawCaller) readAnswer() reply {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{Status: resp.StatusCode}
	r.Err = json.NewDecoder(resp.Body).Decode(&r)
	return r
}
