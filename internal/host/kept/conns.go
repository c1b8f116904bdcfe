// Package kept closes the connections that callers keep open to an HTTP server, without losing requests on their way.
package kept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/front/conn"
)

// pollInterval is the time between two checks of the connections that are left.
const pollInterval = 5 * time.Millisecond

// Conns holds the open connections of an http.Server. Set Track as the server's ConnState. The zero value is ready to use.
type Conns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// Track records the state of a connection.
func (c *Conns) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// Close closes each connection once it carries no request. It returns when none is left or ctx ends.
//
// http.Server.Shutdown closes a connection whose goroutine has read a request but was not scheduled since. Close lets that
// goroutine close the connection: it makes the read fail that waits for the next request, which has no effect on bytes
// that were read before.
func (c *Conns) Close(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for c.expireIdle() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// expireIdle ends the reads of the idle connections without unread bytes and returns the number of open connections.
func (c *Conns) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, state := range c.states {
		if state != http.StateActive && conn.UnreadBytes(nc) == 0 {
			_ = nc.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended
		}
	}
	return len(c.states)
}
