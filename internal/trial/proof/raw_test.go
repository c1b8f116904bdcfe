package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawCaller is a caller's connection on which nothing is hidden by a client.
type rawCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, addr string) *rawCaller {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(limit))
	return &rawCaller{conn: c, in: bufio.NewReader(c)}
}

// write sends a search.
func (c *rawCaller) write(t *testing.T, service string) {
	t.Helper()
	const body = `{"query":{"text":"permit"}}`
	_, err := fmt.Fprintf(c.conn, "POST /v1/search/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", service, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}

// read returns the answer to the oldest request.
func (c *rawCaller) read() reply {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{Status: resp.StatusCode}
	r.Err = json.NewDecoder(resp.Body).Decode(&r)
	return r
}
