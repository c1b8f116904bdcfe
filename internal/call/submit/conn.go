package submit

import (
	"net"
	"sync"
)

// conn is a connection that records whether anything was written to it.
type conn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write writes p to the connection. After seal it fails with net.ErrClosed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	c.wrote = true
	return c.Conn.Write(p)
}

// seal prevents further writes and reports whether nothing was written. It closes the connection first, so that a
// write in progress fails and releases mu.
func (c *conn) seal() bool {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.wrote
}
