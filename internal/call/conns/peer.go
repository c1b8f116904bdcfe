package conns

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// tcpKeepAlive detects within a few seconds that the other end of a connection is gone without having closed it.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// peer is the pool of connections to one address.
type peer struct {
	pool *Pool
	addr string

	mu           sync.Mutex
	openCount    int // connections, those being dialed included
	dialingCount int
	open         []*persistConn    // those that are dialed, in the order of their dials
	idle         []*persistConn    // in the order of use, the one used last at the end
	waiting      []chan connResult // in the order of arrival
	closed       bool
}

// connResult is a connection for a waiting call, or why there is none.
type connResult struct {
	conn *persistConn
	err  error
}

// acquire returns a connection that carries no call. If none is idle it waits for the first one that is released or
// dialed, and dials one itself if the limit allows it.
func (p *peer) acquire(ctx context.Context, call *Call) (*persistConn, error) {
	p.mu.Lock()
	if pc := p.popIdle(); pc != nil {
		p.mu.Unlock()
		return pc, nil
	}
	ch := make(chan connResult, 1)
	p.waiting = append(p.waiting, ch)
	if p.openCount < max(call.MaxConns, 1) && p.dialingCount < len(p.waiting) {
		p.dial()
	}
	p.mu.Unlock()
	select {
	case res := <-ch:
		return res.conn, res.err
	case <-ctx.Done():
		p.cancelWait(ch)
		return nil, errors.Wrap(ctx.Err(), "waiting for a free connection")
	case <-call.Abandoned:
		p.cancelWait(ch)
		return nil, errors.Wrap(ErrAbandoned, "waiting for a free connection")
	}
}

// returnUnused releases a connection on which nothing was sent. Its idle timeout keeps running.
func (p *peer) returnUnused(pc *persistConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(pc)
}

// cancelWait removes a call from the queue. If a connection was delivered to it meanwhile, the next call gets that.
func (p *peer) cancelWait(ch chan connResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiting {
		if w == ch {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	if res := <-ch; res.conn != nil {
		p.deliver(res.conn)
	}
}

// popIdle returns the idle connection that was used last, or nil. It closes those whose idle timeout has passed. The
// caller holds the lock.
func (p *peer) popIdle() *persistConn {
	now := p.pool.now()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		pc := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if now < pc.idleUntil {
			return pc
		}
		pc.close(errClosed)
	}
	return nil
}

// release makes a connection available again after a successful call.
func (p *peer) release(pc *persistConn, idleTimeout yuccahinge.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.idleUntil = p.pool.now() + min(idleTimeout, p.pool.idleTimeoutMs())
	p.deliver(pc)
}

// deliver passes a connection to the call that has waited longest, or adds it to the idle ones. The caller holds the lock.
func (p *peer) deliver(pc *persistConn) {
	switch {
	case p.closed:
		pc.close(errClosed)
	case len(p.waiting) > 0:
		ch := p.waiting[0]
		p.waiting = p.waiting[1:]
		ch <- connResult{conn: pc}
	default:
		p.idle = append(p.idle, pc)
	}
}

// dialIfNone dials a connection if there is none and maxConns allows one.
func (p *peer) dialIfNone(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount == 0 && maxConns > 0 && !p.closed {
		p.dial()
	}
}

// dial opens a connection in a goroutine. The caller holds the lock.
func (p *peer) dial() {
	p.openCount++
	p.dialingCount++
	go func() {
		d := net.Dialer{Timeout: p.pool.dialTimeoutMs().Duration(), KeepAliveConfig: tcpKeepAlive}
		c, err := d.Dial("tcp", p.addr)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialingCount--
		if err != nil {
			p.openCount--
			p.failWaiting(err)
			return
		}
		pc := newPersistConn(p, c)
		pc.openedAt = p.pool.now()
		pc.idleUntil = pc.openedAt + p.pool.idleTimeoutMs()
		p.open = append(p.open, pc)
		go pc.readLoop()
		p.deliver(pc)
	}()
}

// failWaiting fails the call that has waited longest after a failed dial, and all waiting calls if no connection is left
// that could serve them. The caller holds the lock.
func (p *peer) failWaiting(err error) {
	for len(p.waiting) > 0 {
		ch := p.waiting[0]
		p.waiting = p.waiting[1:]
		ch <- connResult{err: err}
		if p.openCount > 0 {
			return
		}
	}
}

// abandonWaiting fails all waiting calls.
func (p *peer) abandonWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ch := range p.waiting {
		ch <- connResult{err: ErrAbandoned}
	}
	p.waiting = nil
}

// removeClosed removes a closed connection and dials another if more calls wait than dials are in progress.
func (p *peer) removeClosed(pc *persistConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	isClosed := func(other *persistConn) bool { return other == pc }
	p.idle = slices.DeleteFunc(p.idle, isClosed)
	p.open = slices.DeleteFunc(p.open, isClosed)
	if len(p.waiting) > p.dialingCount && !p.closed {
		p.dial()
	}
}

// hasOpenSince reports whether a connection that was open at the given time still is.
func (p *peer) hasOpenSince(at yuccahinge.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) > 0 && p.open[0].openedAt <= at
}

// close closes the idle connections, and from now on each connection that is released.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, pc := range idle {
		pc.close(errClosed)
	}
}
