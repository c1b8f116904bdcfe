package search

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
)

const (
	queryPath = "/v1/query"
	loadPath  = "/v1/load"
)

// body is a request's body that records whether the transport read any of it. A body that was never read can't have
// reached the searcher.
type body struct {
	payload []byte
	wasRead atomic.Bool
}

func newBody(payload []byte) *body { return &body{payload: payload} }

// request returns a new request that sends the body to the searcher at addr.
func (b *body) request(ctx context.Context, addr string) *http.Request {
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: queryPath},
		Host:          addr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": jsonType},
		Body:          b.open(),
		ContentLength: int64(len(b.payload)),
	}
	// The transport calls GetBody only to retry after an attempt of which nothing was written.
	r.GetBody = func() (io.ReadCloser, error) { return b.open(), nil }
	return r.WithContext(ctx)
}

func loadRequest(ctx context.Context, addr string) *http.Request {
	r := &http.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Scheme: "http", Host: addr, Path: loadPath},
		Host:       addr,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
	}
	return r.WithContext(ctx)
}

var jsonType = []string{"application/json"}

func (b *body) open() io.ReadCloser { return &bodyReader{body: b, Reader: bytes.NewReader(b.payload)} }

// bodyReader reads a body and sets wasRead at the first read.
type bodyReader struct {
	body *body
	*bytes.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.wasRead.Store(true)
	return r.Reader.Read(p)
}

// WriteTo implements io.WriterTo.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	r.body.wasRead.Store(true)
	return r.Reader.WriteTo(w)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }
