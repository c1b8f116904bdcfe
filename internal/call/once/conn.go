package once

import (
	"net"
	"sync"
)

// conn is a connection of which it can be proved that nothing was written to it.
type conn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write sends p, unless the connection was sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	c.wrote = true
	return c.Conn.Write(p)
}

// seal keeps anything more from being written and reports whether the connection is unwritten. The write that
// is under way ends first, since closing the connection fails it.
func (c *conn) seal() bool {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.wrote
}
