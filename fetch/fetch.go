// Package fetch sends JSON requests over HTTP for the command line tools, with limits on time and reply size.
package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/call/status"
)

const (
	// maxReplyBytes is the size at which a reply body is truncated.
	maxReplyBytes = 64 << 20
	// defaultTimeout is the timeout of a call when Client.Timeout is zero.
	defaultTimeout = 5 * time.Second
)

// Client sends HTTP requests and decodes the JSON replies. The zero value is ready to use.
type Client struct {
	Timeout yuccahinge.Millis
	// Header has fields that are set on every request.
	Header http.Header
}

// Get decodes the JSON reply of url into v and returns the HTTP status, or 0 if there was no valid reply.
func (c *Client) Get(ctx context.Context, url string, v any) (int, error) {
	return c.do(ctx, http.MethodGet, url, nil, v)
}

// Post sends body to url, decodes the JSON reply into v and returns the HTTP status, or 0 if there was no valid reply. It
// does not send the body again when a connection breaks.
func (c *Client) Post(ctx context.Context, url string, body []byte, v any) (int, error) {
	return c.do(ctx, http.MethodPost, url, body, v)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, v any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, oneShotReader(body))
	if err != nil {
		return 0, err
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if err := status.Check(resp, resp.TLS != nil && resp.ProtoMajor == 2); err != nil {
		return 0, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return resp.StatusCode, err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return resp.StatusCode, fmt.Errorf("decode JSON reply of %s: %w", url, err)
	}
	return resp.StatusCode, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout.Duration()
	}
	return defaultTimeout
}

// oneShotReader returns a reader for body whose type net/http does not know. With a bytes.Reader, net/http can rewind the
// body and send it again after a broken connection.
func oneShotReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}
