// Package source is an HTTP client for the platform's configuration service and membership list.
package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/bucket"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/calc/jscan"
	"github.com/yuccahinge/yuccahinge/internal/call/status"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// Maximum sizes of reply bodies.
const (
	maxHeadBytes    = 4 << 10
	maxStateBytes   = 16 << 20
	maxMembersBytes = 16 << 20
)

// maxWait bounds how long one call to Head waits.
const maxWait = 60 * yuccahinge.Second

// Kinds of failure, wrapped in a *yuccahinge.Error.
var (
	ErrRateLimited = errors.New("platform rate limit exceeded")
	ErrUnavailable = errors.New("platform unavailable")
	ErrNotFound    = errors.New("platform has no such value")
	ErrMalformed   = errors.New("unexpected reply from the platform")
)

// Client reads the platform at one address. Set BaseURL before the first use. Its methods are safe for concurrent use.
type Client struct {
	// BaseURL is the root URL of the platform's API, such as http://127.0.0.1:9000.
	BaseURL string
	// HTTP makes the calls; nil takes a client shared by the package.
	HTTP *http.Client
	// PerSecond and Burst limit the call rate of this host; zero takes the defaults of package bucket.
	PerSecond float64
	Burst     float64

	mu     sync.Mutex
	bucket bucket.Bucket
}

var defaultHTTP = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost:   4,
		IdleConnTimeout:       90 * time.Second,
		ResponseHeaderTimeout: (maxWait + 10*yuccahinge.Second).Duration(),
	},
}

type headReply struct {
	Head *yuccahinge.TicketNumber `json:"head"`
}

// Head returns the highest ticket number. It waits up to wait, at most maxWait, for one above after.
func (c *Client) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	query := url.Values{
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(int64(min(max(wait, 0), maxWait)), 10)},
	}
	body, err := c.get(ctx, "/v1/head?"+query.Encode(), maxHeadBytes)
	if err != nil {
		return 0, err
	}
	return decodeHead(body)
}

func decodeHead(body []byte) (yuccahinge.TicketNumber, error) {
	var reply headReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, malformedError(err)
	}
	if reply.Head == nil {
		return 0, malformedError(errors.New("field head is missing"))
	}
	return *reply.Head, nil
}

// Ticket returns the ticket numbered n.
func (c *Client) Ticket(ctx context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	body, err := c.get(ctx, fmt.Sprintf("/v1/tickets/%d", n), ticket.MaxBytes)
	if err != nil {
		return nil, err
	}
	return decodeTicket(body, n)
}

func decodeTicket(body []byte, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	t, err := ticket.Decode(body)
	if err != nil {
		return nil, err
	}
	if t.Number != n {
		return nil, malformedError(fmt.Errorf("reply has ticket %d, want %d", t.Number, n))
	}
	return t, nil
}

// State returns the newest whole state. If the platform sends no digest, State computes it.
func (c *Client) State(ctx context.Context) (*yuccahinge.State, error) {
	body, err := c.get(ctx, "/v1/state", maxStateBytes)
	if err != nil {
		return nil, err
	}
	return decodeState(body)
}

func decodeState(body []byte) (*yuccahinge.State, error) {
	s := new(yuccahinge.State)
	if err := json.Unmarshal(body, s); err != nil {
		return nil, malformedError(err)
	}
	if s.Digest == "" {
		s.Digest = ticket.DigestOf(s)
	}
	if err := ticket.CheckState(s); err != nil {
		return nil, malformedError(err)
	}
	return s, nil
}

// Members returns the membership list.
func (c *Client) Members(ctx context.Context) ([]yuccahinge.Member, error) {
	body, err := c.get(ctx, "/v1/members", maxMembersBytes)
	if err != nil {
		return nil, err
	}
	return decodeMembers(body)
}

// decodeMembers decodes each row by itself and leaves out those that name no member.
func decodeMembers(body []byte) ([]yuccahinge.Member, error) {
	root, err := jscan.Parse(body)
	if err != nil {
		return nil, malformedError(err)
	}
	var out []yuccahinge.Member
	var rowsErr error
	err = root.Members(func(name []byte, rows jscan.Value) {
		if string(name) != "members" || rows.IsNull() {
			return
		}
		rowsErr = rows.Elements(func(row jscan.Value) {
			var m yuccahinge.Member
			if json.Unmarshal(row, &m) == nil && m.ID != "" {
				out = append(out, m)
			}
		})
	})
	if err = errors.Join(err, rowsErr); err != nil {
		return nil, malformedError(err)
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, path string, limit int64) ([]byte, error) {
	if err := c.throttle(ctx); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+path, nil)
	if err != nil {
		return nil, c.newError(yuccahinge.CodeInvalid, "the platform's address is not a valid URL", err)
	}
	response, err := c.client().Do(request)
	if err != nil {
		return nil, c.newError(yuccahinge.CodeUnavailable, "the HTTP request failed", errors.Join(ErrUnavailable, err))
	}
	defer response.Body.Close()
	if err := status.Check(response, response.TLS != nil && response.ProtoMajor == 2); err != nil {
		return nil, c.newError(yuccahinge.CodeUnavailable, "the reply is malformed", errors.Join(ErrUnavailable, err))
	}
	if err := c.checkStatus(response.StatusCode); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, c.newError(yuccahinge.CodeUnavailable, "reading the reply body failed", errors.Join(ErrUnavailable, err))
	}
	if int64(len(body)) > limit {
		return nil, c.newError(yuccahinge.CodeTooLarge, fmt.Sprintf("the reply body exceeds %d bytes", limit), ErrMalformed)
	}
	return body, nil
}

// throttle delays the call to keep this host within its share of the platform's rate limit.
func (c *Client) throttle(ctx context.Context) error {
	c.mu.Lock()
	c.bucket.PerSecond = c.PerSecond
	c.bucket.Burst = c.Burst
	delay := c.bucket.Reserve(clock.Clock{}.Now())
	c.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return c.newError(yuccahinge.CodeDeadline, "the context ended while the host's rate limit delayed the call", ctx.Err())
	}
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

func (c *Client) checkStatus(code int) error {
	switch {
	case code == http.StatusOK:
		return nil
	case code == http.StatusTooManyRequests:
		return c.newError(yuccahinge.CodeUnavailable, "status 429", ErrRateLimited)
	case code == http.StatusNotFound:
		return c.newError(yuccahinge.CodeNotFound, "status 404", ErrNotFound)
	case code >= http.StatusInternalServerError:
		return c.newError(yuccahinge.CodeUnavailable, fmt.Sprintf("status %d", code), ErrUnavailable)
	}
	return c.newError(yuccahinge.CodeInvalid, fmt.Sprintf("status %d", code), ErrMalformed)
}

func (c *Client) newError(code yuccahinge.Code, message string, err error) error {
	return &yuccahinge.Error{Code: code, Step: yuccahinge.StepPlatform, Peer: c.BaseURL, Message: message, Err: err}
}

func malformedError(err error) error {
	return &yuccahinge.Error{
		Code:    yuccahinge.CodeInvalid,
		Step:    yuccahinge.StepPlatform,
		Message: "the platform's reply is malformed",
		Err:     errors.Join(ErrMalformed, err),
	}
}
