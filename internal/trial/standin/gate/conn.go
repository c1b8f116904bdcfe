package gate

import (
	"net"
	"sync"
)

// Conn is a connection whose reads and writes block while a gate is closed.
type Conn struct {
	net.Conn
	// In blocks reads, Out blocks writes.
	In, Out *Gate
	// OnClose is called once when the connection closes; it may be nil.
	OnClose func()

	closeOnce sync.Once
	done      chan struct{}
}

// NewConn returns c with reads blocked by in and writes blocked by out. The function onClose may be nil.
func NewConn(c net.Conn, in, out *Gate, onClose func()) *Conn {
	return &Conn{Conn: c, In: in, Out: out, OnClose: onClose, done: make(chan struct{})}
}

// Read implements net.Conn. It waits for the gate after the underlying read, so a gate that closes during that read
// blocks its bytes too.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.In.Wait(c.done) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.Out.Wait(c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.done)
		if c.OnClose != nil {
			c.OnClose()
		}
	})
	return c.Conn.Close()
}
