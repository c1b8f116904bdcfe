// Package fetch provides bounded JSON calls for the command line.
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
)

const (
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 64 << 20
	// defaultTimeout bounds a call when Timeout is zero.
	defaultTimeout = 5 * time.Second
)

// Client sends and reads JSON. The zero value is ready to use.
type Client struct {
	Timeout yuccahinge.Millis
	// Header goes with every call.
	Header http.Header
}

// Get reads the JSON value at url into v and returns the status.
func (c *Client) Get(ctx context.Context, url string, v any) (int, error) {
	return c.do(ctx, http.MethodGet, url, nil, v)
}

// Post sends body to url, reads the JSON reply into v and returns the status.
func (c *Client) Post(ctx context.Context, url string, body []byte, v any) (int, error) {
	return c.do(ctx, http.MethodPost, url, body, v)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, v any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, onlyOnce(body))
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return resp.StatusCode, err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return resp.StatusCode, fmt.Errorf("reply of %s is not JSON: %w", url, err)
	}
	return resp.StatusCode, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout.Duration()
	}
	return defaultTimeout
}

// onlyOnce hides the type of the reader from net/http, which would otherwise send the body again by
// itself after a connection broke.
func onlyOnce(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}
