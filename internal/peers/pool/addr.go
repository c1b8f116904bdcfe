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

// addrPool pools the connections to one address.
type addrPool struct {
	addr   string
	dialMs yuccahinge.Millis
	idleMs yuccahinge.Millis
	// slots holds a token for each call in progress.
	slots chan struct{}

	mu   sync.Mutex
	idle []*idleConn // the most recently used is last
}

// idleConn is a connection without a call in progress. The timer closes it after the idle time.
type idleConn struct {
	conn  *drpcconn.Conn
	timer *time.Timer
}

// acquire waits for a slot and returns a connection for one call: an idle one that is still open, or a new one.
func (a *addrPool) acquire(ctx context.Context) (*drpcconn.Conn, error) {
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := a.popIdle(); conn != nil {
		return conn, nil
	}
	conn, err := a.dial(ctx)
	if err != nil {
		<-a.slots
		return nil, err
	}
	return conn, nil
}

// release frees the slot of a call. It keeps the connection if ok is set, the connection is open and fewer than
// maxIdleConnsPerAddr are idle; otherwise it closes it.
func (a *addrPool) release(conn *drpcconn.Conn, ok bool) {
	defer func() { <-a.slots }()
	if !ok || isClosed(conn) || !a.pushIdle(conn) {
		_ = conn.Close()
	}
}

func (a *addrPool) popIdle() *drpcconn.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.idle) > 0 {
		last := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if last.timer.Stop() && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (a *addrPool) pushIdle(conn *drpcconn.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idle) >= maxIdleConnsPerAddr {
		return false
	}
	a.idle = append(a.idle, &idleConn{
		conn:  conn,
		timer: time.AfterFunc(a.idleMs.Duration(), func() { _ = conn.Close() }),
	})
	return true
}

func (a *addrPool) closeIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.idle {
		c.timer.Stop()
		_ = c.conn.Close()
	}
	a.idle = nil
}

func (a *addrPool) dial(ctx context.Context) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, a.dialMs.Duration())
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", a.addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// After a failed call the kernel would otherwise go on sending it, after a network partition too.
		_ = tcp.SetLinger(0)
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
