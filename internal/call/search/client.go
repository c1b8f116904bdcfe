// Package search provides the client of searchers over HTTP.
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
)

const (
	// defaultMaxReply bounds a reply's body in bytes.
	defaultMaxReply = 4 << 20
	// defaultConnections is the cap of a searcher that names none.
	defaultConnections = 8
	// defaultQueue is the number of calls that may wait for each connection.
	defaultQueue = 16
)

var (
	errQueueFull = errors.New("too many calls wait for the searcher's connections")
	errTooLarge  = errors.New("reply over the size limit")
	errEcho      = errors.New("reply echoes another request")
)

// Client sends attempts to searchers. It implements yuccahinge.ShardCaller. The zero value is ready to
// use; Close drops the idle connections.
type Client struct {
	// Limit returns the connections that this host may hold at a searcher; nil takes the searcher's cap.
	Limit func(id yuccahinge.SearcherID, s *yuccahinge.Searcher) int
	// MaxReply bounds a reply's body in bytes.
	MaxReply int64
	// Queue bounds the calls that wait for each connection of a searcher.
	Queue int
	// Clock measures latencies.
	Clock yuccahinge.Clock

	peers sync.Map // of address to *peer
}

// Query sends one attempt. NotRun is said only with proof: the request's body was never read for sending,
// or the searcher said so.
func (c *Client) Query(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	start := c.now()
	res := c.query(ctx, id, s, r)
	res.Latency = c.now() - start
	return res
}

func (c *Client) query(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
	payload, err := json.Marshal(r)
	if err != nil {
		return failed(yuccahinge.NotRun, yuccahinge.ReasonInvalid, id, err)
	}
	limit := c.limit(id, s)
	p := c.peer(s.Addr)
	if !p.enter(limit * (1 + c.queue())) {
		return failed(yuccahinge.NotRun, yuccahinge.ReasonShed, id, errQueueFull)
	}
	defer p.leave()
	b := newBody(payload)
	resp, err := p.transport(s, limit).RoundTrip(b.request(ctx, s.Addr))
	if err != nil {
		return unanswered(ctx, id, b, err)
	}
	defer resp.Body.Close()
	return c.read(ctx, id, resp, r)
}

// unanswered classes a call that brought no response.
func unanswered(ctx context.Context, id yuccahinge.SearcherID, b *body, err error) yuccahinge.ShardResult {
	outcome := yuccahinge.Unknown
	reason := yuccahinge.ReasonLost
	if !b.touched.Load() {
		outcome = yuccahinge.NotRun
		reason = yuccahinge.ReasonUnreachable
	}
	if ended := endReason(ctx); ended != "" {
		reason = ended
	}
	return failed(outcome, reason, id, err)
}

func endReason(ctx context.Context) yuccahinge.Reason {
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
	limit := c.maxReply()
	if resp.ContentLength > limit {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errTooLarge)
	}
	buf := buffers.Get().(*buffer)
	defer buf.free()
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		reason := yuccahinge.ReasonInvalid
		if ended := endReason(ctx); ended != "" {
			reason = ended
		}
		return failed(yuccahinge.Unknown, reason, id, err)
	}
	if n > limit {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, errTooLarge)
	}
	return decode(buf.Bytes(), resp.StatusCode, id, r)
}

// Load asks a searcher for its load report.
func (c *Client) Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error) {
	limit := c.limit(id, s)
	p := c.peer(s.Addr)
	if !p.enter(limit * (1 + c.queue())) {
		return nil, errQueueFull
	}
	defer p.leave()
	resp, err := p.transport(s, limit).RoundTrip(loadRequest(ctx, s.Addr))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("load report answered with status %d", resp.StatusCode)
	}
	out := new(yuccahinge.LoadReport)
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxReply())).Decode(out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.peers.Range(func(_, v any) bool {
		v.(*peer).close()
		return true
	})
}

// Connections returns the connections open to an address.
func (c *Client) Connections(addr string) int { return int(c.peer(addr).open.Load()) }

func (c *Client) peer(addr string) *peer {
	if v, ok := c.peers.Load(addr); ok {
		return v.(*peer)
	}
	v, _ := c.peers.LoadOrStore(addr, newPeer())
	return v.(*peer)
}

func (c *Client) limit(id yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	if c.Limit != nil {
		return max(1, c.Limit(id, s))
	}
	if s.Connections > 0 {
		return s.Connections
	}
	return defaultConnections
}

func (c *Client) maxReply() int64 {
	if c.MaxReply > 0 {
		return c.MaxReply
	}
	return defaultMaxReply
}

func (c *Client) queue() int {
	if c.Queue > 0 {
		return c.Queue
	}
	return defaultQueue
}

func (c *Client) now() yuccahinge.Millis {
	if c.Clock != nil {
		return c.Clock.Now()
	}
	return clock.Clock{}.Now()
}
