package pool

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcwire"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// line holds the connections to one address.
type line struct {
	addr   string
	dialMs yuccahinge.Millis
	idleMs yuccahinge.Millis
	// slots holds a token for each call under way.
	slots chan struct{}

	mu   sync.Mutex
	idle []*idleConn // the last used is last
}

// idleConn is a connection that waits for its next call, until the timer closes it.
type idleConn struct {
	conn  *drpcconn.Conn
	timer *time.Timer
}

// take returns a connection for one call: an idle one that is alive, or a new one.
func (l *line) take(ctx context.Context) (*drpcconn.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := l.pop(); conn != nil {
		return conn, nil
	}
	conn, err := l.dial(ctx)
	if err != nil {
		<-l.slots
		return nil, err
	}
	return conn, nil
}

// put ends the call of a connection and keeps the connection if it is alive.
func (l *line) put(conn *drpcconn.Conn, ok bool) {
	defer func() { <-l.slots }()
	if !ok || isClosed(conn) || !l.push(conn) {
		_ = conn.Close()
	}
}

func (l *line) pop() *drpcconn.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		last := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if last.timer.Stop() && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (l *line) push(conn *drpcconn.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) >= maxIdleConnsPerAddr {
		return false
	}
	l.idle = append(l.idle, &idleConn{
		conn:  conn,
		timer: time.AfterFunc(l.idleMs.Duration(), func() { _ = conn.Close() }),
	})
	return true
}

func (l *line) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		c.timer.Stop()
		_ = c.conn.Close()
	}
	l.idle = nil
}

func (l *line) dial(ctx context.Context) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.dialMs.Duration())
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	tr := drpcmigrate.NewHeaderConn(conn, frame.Preamble)
	return drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: frame.MaxMessageBytes},
	}}), nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
