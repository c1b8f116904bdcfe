// Package conns pools connections to searchers that carry one HTTP/1.1 call at a time.
//
// Unlike the transport of net/http it never sends a call twice, bounds the connections to each address, marks the errors
// of calls that were not sent, and skips responses that belong to an earlier call.
package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/call/intake"
)

// ErrNotSent marks the error of a call of which no byte was written.
var ErrNotSent = errors.New("call was not sent")

// ErrAbandoned marks the error of a call that was abandoned before it was sent: Call.Abandoned was closed, or Call.Encode
// returned nil.
var ErrAbandoned = errors.New("call was abandoned before it was sent")

// ErrNoResponse marks the error of a call whose connection ended before any byte of a response arrived.
var ErrNoResponse = errors.New("connection ended without a response")

// errClosed is the cause of the close of a connection that did not fail.
var errClosed = errors.New("connection was closed")

const (
	// defaultDialTimeout bounds the time to connect. It is several times the duration of a slow handshake.
	defaultDialTimeout = 1 * yuccahinge.Second
	// defaultIdleTimeout is how long an idle connection is kept.
	defaultIdleTimeout = 30 * yuccahinge.Second
	// closeWait is how long a new connection must stay open to show that a process serves it.
	closeWait = 150 * time.Millisecond
	// defaultMaxReplyBytes bounds a response's body in bytes.
	defaultMaxReplyBytes = 4 << 20
)

// Call describes one HTTP request: its address, its encoding, and which responses are accepted for it.
type Call struct {
	Addr string
	// MaxConns bounds the connections to Addr.
	MaxConns int
	// Method is the method of the request. Whether the response has a body depends on it.
	Method string
	// Encode returns the encoded request. It is called when a connection is available, so that the request can carry the
	// time that is left after the wait. If it returns nil, the call is abandoned with ErrAbandoned.
	Encode func() []byte
	// Abandoned abandons the call if it is closed while the call waits for a connection. It may be nil.
	Abandoned <-chan struct{}
	// Matches reports whether a response may belong to the call; nil accepts any. Others are skipped. It is called before the
	// connection is used for another call and must not block.
	Matches func(status int, h http.Header) bool
}

// Reply is the response to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool is a pool of connections by address. The zero value is ready to use; Close closes the idle connections.
type Pool struct {
	// DialTimeoutMs bounds the time to connect; zero means one second.
	DialTimeoutMs yuccahinge.Millis
	// IdleTimeoutMs is how long an idle connection is kept; zero means 30 seconds.
	IdleTimeoutMs yuccahinge.Millis
	// MaxReplyBytes bounds a response's body; zero means 4 MiB.
	MaxReplyBytes int64
	// Clock measures idle times; nil means the system's clock.
	Clock yuccahinge.Clock

	peers sync.Map // of address to *peer
	// bodies limits the memory of the responses that are being read.
	bodies intake.Budget
}

// LimitReplies bounds the bytes of all responses that are read at the same time; zero means intake.DefaultMaxBytes. Call it before the
// first call.
func (p *Pool) LimitReplies(maxBytes int64) { p.bodies.MaxBytes = maxBytes }

// RepliesGivenUp returns how many responses were given up because those in progress took too much memory together.
func (p *Pool) RepliesGivenUp() uint64 { return p.bodies.GivenUp() }

// Do sends a call and waits for its response. If ctx ends after the call was sent, its connection is closed. The error of a response
// with an invalid status line is marked with status.ErrInvalid; the call may have run then.
func (p *Pool) Do(ctx context.Context, call *Call) (*Reply, error) {
	target := p.peer(call.Addr)
	for {
		pc, err := target.acquire(ctx, call)
		if err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
		pending := &pendingCall{call: call, request: call.Encode(), done: make(chan result, 1)}
		if pending.request == nil {
			target.returnUnused(pc)
			return nil, errors.Mark(ErrAbandoned, ErrNotSent)
		}
		if pc.beginCall(pending) {
			return pc.roundTrip(ctx, pending)
		}
		// The connection was closed while it was idle; acquire another one.
	}
}

// IsDown reports whether the process at an address has ended since a given time: no connection that was open then is left,
// and a new one is refused, or accepted and closed, as by a proxy in front of the process. It is false if that is not known: a
// process resets new connections above its limit.
func (p *Pool) IsDown(ctx context.Context, addr string, since yuccahinge.Millis) bool {
	if p.peer(addr).hasOpenSince(since) {
		return false
	}
	d := net.Dialer{Timeout: p.dialTimeoutMs().Duration()}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(closeWait)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Warm dials a connection in the background to an address that has none, unless maxConns is 0.
func (p *Pool) Warm(addr string, maxConns int) { p.peer(addr).dialIfNone(maxConns) }

// AbandonWaiting ends the calls that wait for a connection to an address with ErrAbandoned.
func (p *Pool) AbandonWaiting(addr string) {
	if v, ok := p.peers.Load(addr); ok {
		v.(*peer).abandonWaiting()
	}
}

// CloseAddr closes the idle connections to an address, and each busy one when its call ends.
func (p *Pool) CloseAddr(addr string) {
	if v, ok := p.peers.LoadAndDelete(addr); ok {
		v.(*peer).close()
	}
}

// Close closes the idle connections to all addresses, and each busy one when its call ends.
func (p *Pool) Close() {
	p.peers.Range(func(addr, _ any) bool {
		p.CloseAddr(addr.(string))
		return true
	})
}

func (p *Pool) peer(addr string) *peer {
	if v, ok := p.peers.Load(addr); ok {
		return v.(*peer)
	}
	v, _ := p.peers.LoadOrStore(addr, &peer{pool: p, addr: addr})
	return v.(*peer)
}

func (p *Pool) now() yuccahinge.Millis {
	if p.Clock != nil {
		return p.Clock.Now()
	}
	return clock.Clock{}.Now()
}

func (p *Pool) dialTimeoutMs() yuccahinge.Millis {
	if p.DialTimeoutMs > 0 {
		return p.DialTimeoutMs
	}
	return defaultDialTimeout
}

func (p *Pool) idleTimeoutMs() yuccahinge.Millis {
	if p.IdleTimeoutMs > 0 {
		return p.IdleTimeoutMs
	}
	return defaultIdleTimeout
}

func (p *Pool) maxReplyBytes() int64 {
	if p.MaxReplyBytes > 0 {
		return p.MaxReplyBytes
	}
	return defaultMaxReplyBytes
}
