package search

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

const (
	idleTimeout    = 90 * time.Second
	dialTimeout    = 2 * time.Second
	maxHeaderBytes = 16 << 10
	pollInterval   = 10 * time.Millisecond
)

// peer holds the connections to one searcher. A connection counts as open from before its dial until after its close.
// It is dialed only if the number of open ones stays within the limit at the time of the dial.
type peer struct {
	inFlight  atomic.Int64
	openCount atomic.Int64
	limit     atomic.Int64
	slotFreed chan struct{}
	// maySend reports whether a request may still be sent to the searcher, which is the newest one at the address.
	maySend  func(*yuccahinge.Searcher) bool
	searcher atomic.Pointer[yuccahinge.Searcher]

	mu      sync.Mutex
	current atomic.Pointer[limitedTransport]
}

// limitedTransport is a transport with the limit and protocol that it was created for.
type limitedTransport struct {
	limit     int
	protocol  yuccahinge.Protocol
	transport *http.Transport
}

func newPeer(maySend func(*yuccahinge.Searcher) bool) *peer {
	return &peer{slotFreed: make(chan struct{}, 1), maySend: maySend}
}

// tryAdmit counts a call and reports true, or reports false if bound calls are in flight or queued already.
func (p *peer) tryAdmit(bound int) bool {
	if p.inFlight.Add(1) > int64(bound) {
		p.inFlight.Add(-1)
		return false
	}
	return true
}

func (p *peer) endCall() { p.inFlight.Add(-1) }

// transport returns the transport for the limit and protocol. A change of either replaces it; the connections of the old
// one close as their calls end.
func (p *peer) transport(s *yuccahinge.Searcher, limit int) *http.Transport {
	p.searcher.Store(s)
	if l := p.current.Load(); l != nil && l.limit == limit && l.protocol == s.Protocol {
		return l.transport
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old != nil && old.limit == limit && old.protocol == s.Protocol {
		return old.transport
	}
	p.limit.Store(int64(limit))
	l := &limitedTransport{limit: limit, protocol: s.Protocol, transport: p.newTransport(s.Protocol, limit)}
	p.current.Store(l)
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return l.transport
}

func (p *peer) newTransport(protocol yuccahinge.Protocol, limit int) *http.Transport {
	t := &http.Transport{
		DialContext:            p.dial,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	t.Protocols = new(http.Protocols)
	if protocol == yuccahinge.H2C {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP1(true)
	}
	return t
}

// dial waits until the limit allows another connection and opens it.
func (p *peer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	if !p.maySend(p.searcher.Load()) {
		p.releaseSlot()
		return nil, errMayNotSend
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	counted := &countedConn{Conn: c, peer: p}
	if l := p.current.Load(); l != nil && l.protocol != yuccahinge.H2C {
		return &gatedConn{countedConn: counted}, nil
	}
	return counted, nil
}

func (p *peer) acquireSlot(ctx context.Context) error {
	for {
		n := p.openCount.Load()
		if n < p.limit.Load() {
			if p.openCount.CompareAndSwap(n, n+1) {
				return nil
			}
			continue
		}
		if err := p.waitForSlot(ctx); err != nil {
			return err
		}
	}
}

// waitForSlot waits for a connection to close. It also returns after pollInterval, because a raised limit is not
// signaled.
func (p *peer) waitForSlot(ctx context.Context) error {
	poll := time.NewTimer(pollInterval)
	defer poll.Stop()
	select {
	case <-p.slotFreed:
		return nil
	case <-poll.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *peer) releaseSlot() {
	p.openCount.Add(-1)
	select {
	case p.slotFreed <- struct{}{}:
	default:
	}
}

func (p *peer) close() {
	if l := p.current.Load(); l != nil {
		l.transport.CloseIdleConnections()
	}
}

// countedConn is a connection that releases its slot when it is closed.
type countedConn struct {
	net.Conn
	peer   *peer
	closed sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.peer.releaseSlot)
	return err
}

// gatedConn is an HTTP/1.1 connection on which a request is sent only while the searcher may get one. The request may have waited for
// the connection.
type gatedConn struct {
	*countedConn
	// isSending is set from the first byte of a request to the first one of its response.
	isSending atomic.Bool
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.isSending.Load() && !c.peer.maySend(c.peer.searcher.Load()) {
		return 0, errMayNotSend
	}
	c.isSending.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.isSending.Store(false)
	}
	return n, err
}
