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
	idleTimeout  = 90 * time.Second
	dialTimeout  = 2 * time.Second
	headerLimit  = 16 << 10 // bytes
	pollInterval = 10 * time.Millisecond
)

// peer holds the connections to one searcher. The number open, counted from before the dial to after the
// close, never exceeds the limit in force at the dial.
type peer struct {
	inFlight atomic.Int64
	open     atomic.Int64
	limit    atomic.Int64
	freed    chan struct{}

	mu      sync.Mutex
	current atomic.Pointer[link]
}

// link is a transport made for one limit and protocol.
type link struct {
	limit    int
	protocol yuccahinge.Protocol
	http     *http.Transport
}

func newPeer() *peer { return &peer{freed: make(chan struct{}, 1)} }

func (p *peer) enter(bound int) bool {
	if p.inFlight.Add(1) > int64(bound) {
		p.inFlight.Add(-1)
		return false
	}
	return true
}

func (p *peer) leave() { p.inFlight.Add(-1) }

// transport returns the transport for the limit and protocol. A change of either makes a new one; the old
// one's connections close as their calls end.
func (p *peer) transport(s *yuccahinge.Searcher, limit int) *http.Transport {
	if l := p.current.Load(); l != nil && l.limit == limit && l.protocol == s.Protocol {
		return l.http
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old != nil && old.limit == limit && old.protocol == s.Protocol {
		return old.http
	}
	p.limit.Store(int64(limit))
	l := &link{limit: limit, protocol: s.Protocol, http: p.newTransport(s.Protocol, limit)}
	p.current.Store(l)
	if old != nil {
		old.http.CloseIdleConnections()
	}
	return l.http
}

func (p *peer) newTransport(protocol yuccahinge.Protocol, limit int) *http.Transport {
	t := &http.Transport{
		DialContext:            p.dial,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
	}
	t.Protocols = new(http.Protocols)
	if protocol == yuccahinge.H2C {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP1(true)
	}
	return t
}

// dial opens a connection once the limit allows it.
func (p *peer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &conn{Conn: c, peer: p}, nil
}

func (p *peer) acquire(ctx context.Context) error {
	for {
		n := p.open.Load()
		if n < p.limit.Load() {
			if p.open.CompareAndSwap(n, n+1) {
				return nil
			}
			continue
		}
		if err := p.await(ctx); err != nil {
			return err
		}
	}
}

// await waits for a connection to close, and now and then for a limit that has risen.
func (p *peer) await(ctx context.Context) error {
	poll := time.NewTimer(pollInterval)
	defer poll.Stop()
	select {
	case <-p.freed:
		return nil
	case <-poll.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *peer) release() {
	p.open.Add(-1)
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

func (p *peer) close() {
	if l := p.current.Load(); l != nil {
		l.http.CloseIdleConnections()
	}
}

// conn counts a connection until it is closed.
type conn struct {
	net.Conn
	peer   *peer
	closed sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.peer.release)
	return err
}
