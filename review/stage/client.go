package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	host           *entryHost
	method, target string
	attempt, body  string
	deadline       time.Duration
}

// answer is what the client saw: a status, or err.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// clientName is the host name of the routes.
const clientName = "h.example"

// send sends a request on a new connection and waits for the answer until the deadline.
func (s *stage) send(q *request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+200*time.Millisecond)
	defer cancel()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: false}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.host.front()+q.target, nil)
	if err != nil {
		return &answer{err: err}
	}
	if q.body != "" {
		// A body without GetBody keeps the transport from sending the request again.
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(q.body)), int64(len(q.body))
	}
	r.Host = clientName
	r.Header.Set(headerAttempt, q.attempt)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	s.record.printf("client sends %s to %s: %s %s", q.attempt, q.host.name, q.method, q.target)
	a := new(answer)
	resp, err := transport.RoundTrip(r)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		text, err = io.ReadAll(resp.Body)
		a.status, a.header, a.body = resp.StatusCode, resp.Header, string(text)
	}
	if a.err = err; err != nil {
		s.record.printf("client got no answer to %s: %v", q.attempt, err)
		return a
	}
	s.record.printf("client got %d for %s, stamp %q, %d bytes", a.status, q.attempt, a.header.Get(headerStamp), len(a.body))
	return a
}
