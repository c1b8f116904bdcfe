// Package pool calls other entry hosts over pooled drpc connections.
package pool

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// Defaults of zero fields, and the limit of idle connections to one address.
const (
	DefaultMaxPerAddr                     = 16
	DefaultIdleMs       yuccahinge.Millis = 30_000
	DefaultDialMs       yuccahinge.Millis = 1000
	DefaultTimeoutMs    yuccahinge.Millis = 10_000
	maxIdleConnsPerAddr                   = 4
	// minTimedWaitMs is the wait for a connection after which a TimedMessage is encoded again.
	minTimedWaitMs yuccahinge.Millis = 1
)

// Pool calls peers. A connection carries one call at a time and is closed if the call fails or its context ends.
// The zero value is ready to use; set the fields before the first call.
type Pool struct {
	Cluster string
	Self    yuccahinge.Member
	Clock   yuccahinge.Clock
	Stamps  *hybrid.Clock
	// MaxPerAddr bounds the connections to one address; further calls wait for a connection.
	MaxPerAddr int
	// IdleMs is how long a connection without a call stays open.
	IdleMs yuccahinge.Millis
	// DialMs is the timeout of connection setup.
	DialMs yuccahinge.Millis
	// TimeoutMs is the timeout of calls whose context has no deadline.
	TimeoutMs yuccahinge.Millis

	once   sync.Once
	byAddr sync.Map // address to *addrPool
}

var _ yuccahinge.PeerCaller = (*Pool)(nil)

// Call implements yuccahinge.PeerCaller.
func (p *Pool) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	p.once.Do(p.setDefaults)
	ctx, cancel := context.WithTimeout(ctx, p.timeLimit(ctx))
	defer cancel()
	body, err := frame.Encoding{}.Marshal(in)
	if err != nil {
		return p.notSentError(addr, yuccahinge.CodeInvalid, err)
	}
	conns := p.forAddr(addr)
	start := p.Clock.Now()
	conn, err := conns.acquire(ctx)
	if err != nil {
		return p.notSentError(addr, yuccahinge.CodeUnavailable, err)
	}
	if m, ok := in.(yuccahinge.TimedMessage); ok && p.Clock.Now() >= start+minTimedWaitMs {
		m.SetSendTime(p.Clock.Now())
		if body, err = (frame.Encoding{}).Marshal(in); err != nil {
			conns.release(conn, true)
			return p.notSentError(addr, yuccahinge.CodeInvalid, err)
		}
	}
	reply, err := p.invoke(ctx, conn, method, body)
	conns.release(conn, err == nil)
	if err != nil {
		return callError(ctx, addr, err)
	}
	return p.decodeReply(addr, reply, out)
}

// Close closes the idle connections. Calls in progress continue; their connections close after IdleMs without
// a call.
func (p *Pool) Close() {
	p.byAddr.Range(func(_, v any) bool {
		v.(*addrPool).closeIdle()
		return true
	})
}

func (p *Pool) setDefaults() {
	if p.Clock == nil {
		p.Clock = clock.Clock{}
	}
	if p.Stamps == nil {
		p.Stamps = new(hybrid.Clock)
	}
	if p.MaxPerAddr == 0 {
		p.MaxPerAddr = DefaultMaxPerAddr
	}
	if p.IdleMs == 0 {
		p.IdleMs = DefaultIdleMs
	}
	if p.DialMs == 0 {
		p.DialMs = DefaultDialMs
	}
	if p.TimeoutMs == 0 {
		p.TimeoutMs = DefaultTimeoutMs
	}
}

func (p *Pool) forAddr(addr string) *addrPool {
	if v, ok := p.byAddr.Load(addr); ok {
		return v.(*addrPool)
	}
	newPool := &addrPool{addr: addr, dialMs: p.DialMs, idleMs: p.IdleMs, slots: make(chan struct{}, p.MaxPerAddr)}
	v, _ := p.byAddr.LoadOrStore(addr, newPool)
	return v.(*addrPool)
}

func (p *Pool) invoke(ctx context.Context, conn *drpcconn.Conn, method yuccahinge.PeerMethod, body []byte) (*frame.Reply, error) {
	call := &frame.Call{
		Cluster:     p.Cluster,
		Host:        yuccahinge.HostID(p.Self.ID),
		Incarnation: p.Self.Incarnation,
		Stamp:       p.Stamps.Next(p.Clock.Now()),
		Method:      method,
		DeadlineMs:  remaining(ctx),
		Body:        body,
	}
	reply := new(frame.Reply)
	if err := conn.Invoke(ctx, frame.RPC, frame.Encoding{}, call, reply); err != nil {
		return nil, err
	}
	p.Stamps.Observe(reply.Stamp)
	return reply, nil
}

func (p *Pool) decodeReply(addr string, reply *frame.Reply, out any) error {
	if reply.Error != nil {
		return reply.Error.Err(addr)
	}
	if out == nil {
		return nil
	}
	if err := (frame.Encoding{}).Unmarshal(reply.Body, out); err != nil {
		return &yuccahinge.Error{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepPeer, Peer: addr, Message: "malformed reply", Err: err}
	}
	return nil
}

func (p *Pool) notSentError(addr string, code yuccahinge.Code, err error) error {
	return &yuccahinge.Error{
		Code:    code,
		Step:    yuccahinge.StepPeer,
		Peer:    addr,
		Message: "call not sent",
		Err:     errors.Mark(err, frame.ErrNeverSent),
	}
}

// callError wraps the error of a call that may have reached the peer.
func callError(ctx context.Context, addr string, err error) error {
	code := yuccahinge.CodeUnavailable
	if ctx.Err() != nil {
		code = yuccahinge.CodeDeadline
		err = errors.CombineErrors(ctx.Err(), err)
	}
	return &yuccahinge.Error{Code: code, Step: yuccahinge.StepPeer, Peer: addr, Message: "call failed", Err: err}
}
