package server

import (
	"net"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
)

// listener limits the open connections and delays each new one by connectDelay.
type listener struct {
	net.Listener
	maxConns     int
	connectDelay time.Duration
	gate         *gate.Gate
	counters     *lockedCounters

	closeOnce sync.Once
	accepted  chan net.Conn
	done      chan struct{}
}

func (l *listener) start() {
	l.accepted = make(chan net.Conn)
	l.done = make(chan struct{})
	go l.acceptLoop()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *listener) acceptLoop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		if !l.reserve() {
			resetConn(c)
			continue
		}
		go l.deliver(gate.NewConn(c, l.gate, l.gate, l.release))
	}
}

// resetConn closes a connection with a TCP reset, so that the peer detects the refusal at once.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// reserve counts a new connection and reports whether it is within the limit.
func (l *listener) reserve() bool {
	reserved := false
	l.counters.update(func(c *Counters) {
		if c.OpenConnections >= l.maxConns {
			c.RefusedConnections++
			return
		}
		reserved = true
		c.AcceptedConnections++
		c.OpenConnections++
		c.MaxConnections = max(c.MaxConnections, c.OpenConnections)
	})
	return reserved
}

func (l *listener) release() {
	l.counters.update(func(c *Counters) { c.OpenConnections-- })
}

// deliver passes the connection to Accept after the connect delay.
func (l *listener) deliver(c *gate.Conn) {
	time.Sleep(l.connectDelay)
	if !l.gate.Wait(l.done) {
		_ = c.Close()
		return
	}
	select {
	case l.accepted <- c:
	case <-l.done:
		_ = c.Close()
	}
}
