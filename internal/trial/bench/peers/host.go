package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
	"github.com/yuccahinge/yuccahinge/internal/peers/pool"
	"github.com/yuccahinge/yuccahinge/internal/state/syncer"
)

// host is an entry host reduced to the syncer, the peer server and the pool of peer connections, on the loopback interface.
type host struct {
	syncer   syncer.Syncer
	server   peer.Server
	pool     pool.Pool
	listener net.Listener

	mu sync.Mutex
	// inForceTimes is the time at which each ticket came into force. brokenInvariant is the last invariant that was
	// reported as violated; empty for none.
	inForceTimes    map[yuccahinge.TicketNumber]yuccahinge.Millis
	brokenInvariant string
}

func newHost(i int, p *Plan, source yuccahinge.ConfigSource, bytes *atomic.Int64) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{listener: &countingListener{Listener: l, bytes: bytes}, inForceTimes: map[yuccahinge.TicketNumber]yuccahinge.Millis{}}
	self := yuccahinge.Member{
		ID: fmt.Sprintf("host-%04d", i), Domain: yuccahinge.DomainID(fmt.Sprint("domain-", i%p.Domains)),
		Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive, Incarnation: yuccahinge.Incarnation(fmt.Sprintf("life-%012d", i)),
		PeerAddr: l.Addr().String(), CallerAddr: l.Addr().String(), AdminAddr: l.Addr().String(),
	}
	h.server.Self, h.pool.Self = self, self
	s := &h.syncer
	s.Self = self
	s.Source = source
	s.Peers = &h.pool
	s.Clock = clock.Clock{}
	s.Recorder = h
	s.Seed = p.Seed
	s.Register(h.server.Handle)
	return h, nil
}

func (h *host) run(ctx context.Context) error {
	defer h.pool.Close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.server.Serve(ctx, h.listener) })
	g.Go(func() error { return h.syncer.Run(ctx) })
	return g.Wait()
}

// Record implements yuccahinge.EventRecorder.
func (h *host) Record(e yuccahinge.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch e.Code {
	case event.TicketInForce:
		h.inForceTimes[e.Ticket] = now()
	case event.InvariantBroken:
		h.brokenInvariant = e.Detail
	}
}

// inForceAt returns the time at which the ticket came into force, and whether it has.
func (h *host) inForceAt(n yuccahinge.TicketNumber) (yuccahinge.Millis, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.inForceTimes[n]
	return at, ok
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
