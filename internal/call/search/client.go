// Package search implements the HTTP client of searchers.
package search

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/call/intake"
	"github.com/yuccahinge/yuccahinge/internal/call/status"
)

const (
	// defaultMaxReplyBytes bounds a reply's body in bytes.
	defaultMaxReplyBytes = 4 << 20
	// defaultMaxConns bounds the connections to a searcher that states no bound.
	defaultMaxConns = 8
	// defaultQueuePerConn bounds the waiting calls to a searcher per allowed connection.
	defaultQueuePerConn = 16
)

var (
	errQueueFull  = errors.New("queue for the searcher's connections is full")
	errTooLarge   = errors.New("reply exceeds the size limit")
	errMayNotSend = errors.New("the searcher may get no calls any more")
	errMismatch   = errors.New("reply does not match the request")
)

// Client sends attempts to searchers. It implements yuccahinge.ShardCaller. The zero value is ready to use; Close closes
// the idle connections.
type Client struct {
	// MaxConns returns how many connections this host may open to a searcher; if nil, the searcher's own bound applies.
	MaxConns func(id yuccahinge.SearcherID, s *yuccahinge.Searcher) int
	// MaxReplyBytes bounds a reply's body in bytes; zero means 4 MiB.
	MaxReplyBytes int64
	// MaySend reports whether a call may still be sent to a searcher. It is called when a connection is available; nil allows every call.
	MaySend func(s *yuccahinge.Searcher) bool
	// QueuePerConn bounds the waiting calls to a searcher per allowed connection; zero means 16.
	QueuePerConn int
	// Clock measures latencies; nil means the system's clock.
	Clock yuccahinge.Clock

	peers sync.Map // of address to *peer
	// bodies limits the memory of the replies that are being read.
	bodies intake.Budget
}

// LimitReplies bounds the bytes of all replies that are read at the same time; zero means intake.DefaultMaxBytes. Call it before the
// first attempt.
func (c *Client) LimitReplies(maxBytes int64) { c.bodies.MaxBytes = maxBytes }

// Query sends one attempt. The outcome is NotRun only if that is certain: the transport never got the attempt, its body was
// never read for sending, or the searcher's reply says that it did not run.
func (c *Client) Query(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	start := c.now()
	res := c.query(ctx, id, s, r)
	res.Latency = c.now() - start
	return res
}

func (c *Client) query(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	payload, err := json.Marshal(r)
	if err != nil {
		return failedResult(yuccahinge.NotRun, yuccahinge.ReasonInvalid, id, err)
	}
	if !c.maySend(s) {
		return failedResult(yuccahinge.NotRun, yuccahinge.ReasonShed, id, errMayNotSend)
	}
	limit := c.maxConns(id, s)
	p := c.peer(s.Addr)
	if !p.tryAdmit(limit * (1 + c.queuePerConn())) {
		return failedResult(yuccahinge.NotRun, yuccahinge.ReasonShed, id, errQueueFull)
	}
	defer p.endCall()
	b := newBody(payload)
	resp, err := p.transport(s, limit).RoundTrip(b.request(ctx, s.Addr))
	if err != nil {
		return classifyError(ctx, id, b, err)
	}
	defer resp.Body.Close()
	if err := status.Check(resp, s.Protocol == yuccahinge.H2C); err != nil {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, err)
	}
	return c.read(ctx, id, resp, r)
}

func (c *Client) maySend(s *yuccahinge.Searcher) bool { return c.MaySend == nil || c.MaySend(s) }

// classifyError returns the result of an attempt without a response.
func classifyError(ctx context.Context, id yuccahinge.SearcherID, b *body, err error) yuccahinge.ShardResult {
	outcome := yuccahinge.Unknown
	reason := yuccahinge.ReasonConnectionLost
	if !b.wasRead.Load() {
		outcome = yuccahinge.NotRun
		reason = yuccahinge.ReasonUnreachable
	} else if status.IsInvalid(err) {
		reason = yuccahinge.ReasonInvalid
	}
	if errors.Is(err, errMayNotSend) {
		reason = yuccahinge.ReasonShed
	}
	if ended := contextReason(ctx); ended != "" {
		reason = ended
	}
	return failedResult(outcome, reason, id, err)
}

// contextReason returns why ctx ended, or the empty string if it has not.
func contextReason(ctx context.Context) yuccahinge.Reason {
	switch err := ctx.Err(); {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return yuccahinge.ReasonTimeout
	default:
		return yuccahinge.ReasonCanceled
	}
}

func (c *Client) read(ctx context.Context, id yuccahinge.SearcherID, resp *http.Response, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	limit := c.maxReplyBytes()
	if resp.ContentLength > limit {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errTooLarge)
	}
	if 0 <= resp.ContentLength && resp.ContentLength <= maxPooled {
		buf := buffers.Get().(*buffer)
		defer buf.recycle()
		_, err := buf.ReadFrom(resp.Body)
		return decodeBody(ctx, buf.Bytes(), err, resp.StatusCode, id, r)
	}
	text, err := c.bodies.Read(&intake.Body{
		Source: string(id), Reader: resp.Body, Length: resp.ContentLength, Limit: limit,
		Cancel: func() { _ = resp.Body.Close() }, // only to end the read
	})
	return decodeBody(ctx, text, err, resp.StatusCode, id, r)
}

// decodeBody returns the result of a reply whose body was read with an error or nil.
func decodeBody(ctx context.Context, text []byte, err error, code int, id yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	if err == nil {
		return decode(text, code, id, r)
	}
	reason := yuccahinge.ReasonInvalid
	if ended := contextReason(ctx); ended != "" {
		reason = ended
	}
	return failedResult(yuccahinge.Unknown, reason, id, err)
}

// Load requests the load report of a searcher.
func (c *Client) Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error) {
	if !c.maySend(s) {
		return nil, errMayNotSend
	}
	limit := c.maxConns(id, s)
	p := c.peer(s.Addr)
	if !p.tryAdmit(limit * (1 + c.queuePerConn())) {
		return nil, errQueueFull
	}
	defer p.endCall()
	resp, err := p.transport(s, limit).RoundTrip(loadRequest(ctx, s.Addr))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := status.Check(resp, s.Protocol == yuccahinge.H2C); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("load request failed with status %d", resp.StatusCode)
	}
	out := new(yuccahinge.LoadReport)
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxReplyBytes())).Decode(out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close closes the idle connections to all searchers.
func (c *Client) Close() {
	c.peers.Range(func(_, v any) bool {
		v.(*peer).close()
		return true
	})
}

// OpenConns returns the number of open connections to an address, those being dialed included.
func (c *Client) OpenConns(addr string) int { return int(c.peer(addr).openCount.Load()) }

func (c *Client) peer(addr string) *peer {
	if v, ok := c.peers.Load(addr); ok {
		return v.(*peer)
	}
	v, _ := c.peers.LoadOrStore(addr, newPeer(c.maySend))
	return v.(*peer)
}

func (c *Client) maxConns(id yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	if c.MaxConns != nil {
		return max(1, c.MaxConns(id, s))
	}
	if s.Connections > 0 {
		return s.Connections
	}
	return defaultMaxConns
}

func (c *Client) maxReplyBytes() int64 {
	if c.MaxReplyBytes > 0 {
		return c.MaxReplyBytes
	}
	return defaultMaxReplyBytes
}

func (c *Client) queuePerConn() int {
	if c.QueuePerConn > 0 {
		return c.QueuePerConn
	}
	return defaultQueuePerConn
}

func (c *Client) now() yuccahinge.Millis {
	if c.Clock != nil {
		return c.Clock.Now()
	}
	return clock.Clock{}.Now()
}
