package back

import (
	"net"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
)

// listener caps the connections and makes each new one cost connect time.
type listener struct {
	net.Listener
	most    int
	connect time.Duration
	gate    *gate.Gate
	tally   *tally

	once  sync.Once
	ready chan net.Conn
	done  chan struct{}
}

func (l *listener) start() {
	l.ready = make(chan net.Conn)
	l.done = make(chan struct{})
	go l.accept()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *listener) accept() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		if !l.enter() {
			refuse(c)
			continue
		}
		go l.admit(gate.NewConn(c, l.gate, l.gate, l.leave))
	}
}

// refuse resets a connection, so that its caller learns of it at once.
func refuse(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *listener) enter() bool {
	entered := false
	l.tally.add(func(c *Counters) {
		if c.ConnectionsNow >= l.most {
			c.Refused++
			return
		}
		entered = true
		c.Connects++
		c.ConnectionsNow++
		c.ConnectionsMost = max(c.ConnectionsMost, c.ConnectionsNow)
	})
	return entered
}

func (l *listener) leave() {
	l.tally.add(func(c *Counters) { c.ConnectionsNow-- })
}

func (l *listener) admit(c *gate.Conn) {
	time.Sleep(l.connect)
	if !l.gate.Wait(l.done) {
		_ = c.Close()
		return
	}
	select {
	case l.ready <- c:
	case <-l.done:
		_ = c.Close()
	}
}
