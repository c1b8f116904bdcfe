// Package submit sends charges to searchers over HTTP, each at most once.
//
// The transport of net/http retries a request when a reused connection breaks and the request can be replayed: its
// method is idempotent or it carries an idempotency key, and its body can be rewound. Charges are built so that none
// of these conditions holds, and they are sent on connections that are not reused.
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/call/status"
)

// Defaults for the zero fields of a Client.
const (
	// DefaultMaxConnections is the maximum number of connections to one searcher.
	DefaultMaxConnections = 4
	// DefaultMaxReplyBytes is the maximum size of a searcher's reply, in bytes.
	DefaultMaxReplyBytes = 1 << 20
	// DefaultDialTimeout is the timeout for connecting.
	DefaultDialTimeout = yuccahinge.Second
)

// errMayNotSend is the error of a charge to a searcher that may get none any more.
var errMayNotSend = errors.New("the searcher may get no charges any more")

// searcherKey is the key of a charge's searcher in the context in which its connection is opened.
type searcherKey struct{}

// maxHeaderBytes bounds the header of a reply.
const maxHeaderBytes = 16 << 10

// Client calls POST /v1/charge of searchers. The zero value is ready to use. It always uses HTTP/1.1: each connection
// then carries a single call, so an unwritten connection proves that the call was not sent.
type Client struct {
	// MaxConnections is the maximum number of connections to one searcher, including those being dialed.
	MaxConnections int
	// MaySend reports whether a charge may still be sent to a searcher. It is called when a connection may be opened; nil allows all.
	MaySend func(s *yuccahinge.Searcher) bool
	// MaxReplyBytes is the maximum size of a searcher's reply, in bytes.
	MaxReplyBytes int
	// DialTimeout is the timeout for connecting.
	DialTimeout yuccahinge.Millis

	once   sync.Once
	client *http.Client
}

// Charge sends a charge at most once. The outcome is Ran or NotRun if the searcher's reply says so and echoes the
// request id and the claim. It is NotRun too if no byte of the charge was written, and Unknown in all other cases.
func (c *Client) Charge(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, call *yuccahinge.ChargeCall) yuccahinge.ChargeResult {
	c.once.Do(c.setup)
	text, err := json.Marshal(call)
	if err != nil {
		return failedResult(yuccahinge.NotRun, yuccahinge.ReasonInvalid, id, "charge can't be encoded as JSON", err)
	}
	var t connTrace
	traced := httptrace.WithClientTrace(context.WithValue(ctx, searcherKey{}, s), t.trace())
	req, err := newRequest(traced, s.Addr, text)
	if err != nil {
		return failedResult(yuccahinge.NotRun, yuccahinge.ReasonUnreachable, id, "searcher address is not valid", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return c.noReplyResult(ctx, &t, id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, id, call, resp)
}

// Close closes idle connections. Calls in flight continue.
func (c *Client) Close() {
	c.once.Do(c.setup)
	c.client.CloseIdleConnections()
}

func (c *Client) setup() {
	dialer := net.Dialer{Timeout: c.dialTimeout().Duration()}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if s, ok := ctx.Value(searcherKey{}).(*yuccahinge.Searcher); ok && c.MaySend != nil && !c.MaySend(s) {
				return nil, errMayNotSend
			}
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeaderBytes,

		MaxConnsPerHost: c.maxConnections(),
		Protocols:       protocols,
	}
	c.client = &http.Client{Transport: transport, CheckRedirect: blockRedirect}
}

// blockRedirect returns a redirect as the reply, since following it would send the charge again.
func blockRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newRequest(ctx context.Context, addr string, text []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/charge", body{bytes.NewReader(text)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(text))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// noReplyResult returns the result of a call that failed without a reply. The outcome is NotRun if nothing was written, else
// Unknown.
func (c *Client) noReplyResult(ctx context.Context, t *connTrace, id yuccahinge.SearcherID, err error) yuccahinge.ChargeResult {
	reason := yuccahinge.ReasonConnectionLost
	switch {
	case ctx.Err() != nil:
		reason = yuccahinge.ReasonTimeout
	case status.IsInvalid(err):
		reason = yuccahinge.ReasonInvalid
	}
	if !t.neverSent() {
		return failedResult(yuccahinge.Unknown, reason, id, "charge may have been sent, but no reply arrived", err)
	}
	switch {
	case errors.Is(err, errMayNotSend):
		reason = yuccahinge.ReasonShed
	case reason == yuccahinge.ReasonConnectionLost:
		reason = yuccahinge.ReasonUnreachable
	}
	return failedResult(yuccahinge.NotRun, reason, id, "charge was not sent", err)
}

func (c *Client) readReply(ctx context.Context, id yuccahinge.SearcherID, call *yuccahinge.ChargeCall, resp *http.Response) yuccahinge.ChargeResult {
	if err := status.Check(resp, false); err != nil {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply is malformed", err)
	}
	limit := c.maxReplyBytes()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		reason := yuccahinge.ReasonConnectionLost
		if ctx.Err() != nil {
			reason = yuccahinge.ReasonTimeout
		}
		return failedResult(yuccahinge.Unknown, reason, id, "reply ended early", err)
	}
	if len(text) > limit {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply exceeds the size limit", nil)
	}
	return classifyReply(id, call, resp.StatusCode, text)
}

// classifyReply returns the result for a complete reply.
func classifyReply(id yuccahinge.SearcherID, call *yuccahinge.ChargeCall, status int, text []byte) yuccahinge.ChargeResult {
	reply := new(yuccahinge.ChargeReply)
	if err := json.Unmarshal(text, reply); err != nil {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply can't be decoded as a charge reply", err)
	}
	if reply.RequestID != call.RequestID || reply.Claim != call.Claim {
		return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply echoes another request id or claim", nil)
	}
	switch {
	case reply.Outcome == yuccahinge.NotRun:
		reason := reply.Reason
		if reason == "" {
			reason = yuccahinge.ReasonNotRun
		}
		return yuccahinge.ChargeResult{Outcome: yuccahinge.NotRun, Reason: reason, Reply: reply}
	case reply.Outcome == yuccahinge.Ran && status == http.StatusOK:
		return yuccahinge.ChargeResult{Outcome: yuccahinge.Ran, Reply: reply}
	}
	return failedResult(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply proves no outcome: neither notRun, nor ran with status 200", nil)
}

func failedResult(o yuccahinge.Outcome, r yuccahinge.Reason, id yuccahinge.SearcherID, message string, err error) yuccahinge.ChargeResult {
	e := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepCharge, Peer: string(id), Message: message, Err: err}
	if errors.Is(err, context.DeadlineExceeded) {
		e.Code = yuccahinge.CodeDeadline
	}
	return yuccahinge.ChargeResult{Outcome: o, Reason: r, Err: e}
}

func (c *Client) maxConnections() int {
	if c.MaxConnections > 0 {
		return c.MaxConnections
	}
	return DefaultMaxConnections
}

func (c *Client) maxReplyBytes() int {
	if c.MaxReplyBytes > 0 {
		return c.MaxReplyBytes
	}
	return DefaultMaxReplyBytes
}

func (c *Client) dialTimeout() yuccahinge.Millis {
	if c.DialTimeout > 0 {
		return c.DialTimeout
	}
	return DefaultDialTimeout
}
