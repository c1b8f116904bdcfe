package gate

import (
	"net"
	"sync"
)

// Conn is a connection whose bytes pass through gates in both directions.
type Conn struct {
	net.Conn
	// In and Out hold back what is read and what is written.
	In, Out *Gate
	// Closed is called once when the connection closes; it may be nil.
	Closed func()

	once sync.Once
	done chan struct{}
}

// NewConn returns c behind the gates in and out.
func NewConn(c net.Conn, in, out *Gate, closed func()) *Conn {
	return &Conn{Conn: c, In: in, Out: out, Closed: closed, done: make(chan struct{})}
}

// Read implements net.Conn.
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
	c.once.Do(func() {
		close(c.done)
		if c.Closed != nil {
			c.Closed()
		}
	})
	return c.Conn.Close()
}
