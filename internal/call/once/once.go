// Package once provides the HTTP client that sends charges to searchers, each at most once.
//
// The transport of net/http sends a request again by itself when a reused connection breaks and the request can
// be replayed: its method is idempotent or it carries an idempotency key, and its body can be rewound. Charges are
// built so that none of this holds, on connections that are not reused.
package once

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
)

// The bounds of a Client whose fields are zero.
const (
	// DefaultConnections is the number of connections to one searcher.
	DefaultConnections = 4
	// DefaultReply is the size of a searcher's reply, in bytes.
	DefaultReply = 1 << 20
	// DefaultDial bounds the time to connect.
	DefaultDial = yuccahinge.Second
)

// Client calls POST /v1/charge of searchers. The zero value is ready to use. It speaks HTTP/1.1 to every searcher,
// since only a connection with a single call on it can prove that the call never left.
type Client struct {
	// Connections bounds the connections to one searcher, dials included.
	Connections int
	// Reply bounds a searcher's reply, in bytes.
	Reply int
	// Dial bounds the time to connect.
	Dial yuccahinge.Millis

	once   sync.Once
	client *http.Client
}

// Charge sends a charge once. Its outcome is Ran or NotRun only with a searcher's word under the right echo, NotRun
// also when no byte of it left this process, and else Unknown.
func (c *Client) Charge(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, call *yuccahinge.ChargeCall) yuccahinge.ChargeResult {
	c.once.Do(c.open)
	text, err := json.Marshal(call)
	if err != nil {
		return failed(yuccahinge.NotRun, yuccahinge.ReasonInvalid, id, "charge can't be written as JSON", err)
	}
	var t trail
	req, err := request(httptrace.WithClientTrace(ctx, t.trace()), s.Addr, text)
	if err != nil {
		return failed(yuccahinge.NotRun, yuccahinge.ReasonUnreachable, id, "address is not usable", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return c.broken(ctx, &t, id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(ctx, id, call, resp)
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.once.Do(c.open)
	c.client.CloseIdleConnections()
}

func (c *Client) open() {
	dialer := net.Dialer{Timeout: c.dial().Duration()}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
		MaxConnsPerHost:    c.connections(),
		Protocols:          protocols,
	}
	c.client = &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// keepRedirect has a redirect returned as it is, since following one would send the charge again.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func request(ctx context.Context, addr string, text []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/charge", body{bytes.NewReader(text)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(text))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// broken classes a call that brought no reply.
func (c *Client) broken(ctx context.Context, t *trail, id yuccahinge.SearcherID, err error) yuccahinge.ChargeResult {
	reason := yuccahinge.ReasonLost
	if ctx.Err() != nil {
		reason = yuccahinge.ReasonTimeout
	}
	if !t.neverSent() {
		return failed(yuccahinge.Unknown, reason, id, "no reply", err)
	}
	if reason == yuccahinge.ReasonLost {
		reason = yuccahinge.ReasonUnreachable
	}
	return failed(yuccahinge.NotRun, reason, id, "charge was not sent", err)
}

func (c *Client) read(ctx context.Context, id yuccahinge.SearcherID, call *yuccahinge.ChargeCall, resp *http.Response) yuccahinge.ChargeResult {
	limit := c.reply()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		reason := yuccahinge.ReasonLost
		if ctx.Err() != nil {
			reason = yuccahinge.ReasonTimeout
		}
		return failed(yuccahinge.Unknown, reason, id, "reply broke off", err)
	}
	if len(text) > limit {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply is too large", nil)
	}
	return classify(id, call, resp.StatusCode, text)
}

// classify classes a reply that was read whole.
func classify(id yuccahinge.SearcherID, call *yuccahinge.ChargeCall, status int, text []byte) yuccahinge.ChargeResult {
	reply := new(yuccahinge.ChargeReply)
	if err := json.Unmarshal(text, reply); err != nil {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply is not a charge reply", err)
	}
	if reply.RequestID != call.RequestID || reply.Claim != call.Claim {
		return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply belongs to another charge", nil)
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
	return failed(yuccahinge.Unknown, yuccahinge.ReasonInvalid, id, "reply tells no outcome", nil)
}

func failed(o yuccahinge.Outcome, r yuccahinge.Reason, id yuccahinge.SearcherID, message string, err error) yuccahinge.ChargeResult {
	e := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepCharge, Peer: string(id), Message: message, Err: err}
	if errors.Is(err, context.DeadlineExceeded) {
		e.Code = yuccahinge.CodeDeadline
	}
	return yuccahinge.ChargeResult{Outcome: o, Reason: r, Err: e}
}

func (c *Client) connections() int {
	if c.Connections > 0 {
		return c.Connections
	}
	return DefaultConnections
}

func (c *Client) reply() int {
	if c.Reply > 0 {
		return c.Reply
	}
	return DefaultReply
}

func (c *Client) dial() yuccahinge.Millis {
	if c.Dial > 0 {
		return c.Dial
	}
	return DefaultDial
}
