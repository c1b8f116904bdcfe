package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/yuccahinge/yuccahinge/internal/front/usage"
)

type contextKey struct{}

// NewContext returns a copy of ctx with a connection, for Handler, which is canceled when the connection is closed. It is part of http.Server.ConnContext.
func (*Guard) NewContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*trackedConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.cancel.Store(&cancel)
	return context.WithValue(ctx, contextKey{}, c)
}

// Handler returns a handler that counts the body of each request and calls next. A request without a body whose connection has ended gets
// status 408, which says that it hasn't run.
func (*Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*trackedConn); ok {
			if r.Body != nil && r.Body != http.NoBody {
				r.Body = &body{ReadCloser: r.Body, conn: c}
			} else if !c.bodyRead() {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// body counts the bytes of a body.
type body struct {
	io.ReadCloser
	conn *trackedConn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.conn.endOthers(b.conn.guard.Tracker.ReadBody(b.conn.guard.Clock.Now(), &b.conn.client, n))
	}
	if b.conn.hasEnded.Load() || errors.Is(err, io.EOF) && !b.conn.bodyRead() {
		return 0, errEnded
	}
	return n, err
}

// errEnded is the error of a body whose connection ends.
var errEnded = errors.New("the request body was given up: it takes too much memory or time")

// bodyRead says that the request has been read whole. It reports whether the connection goes on.
func (c *trackedConn) bodyRead() bool {
	return c.guard.Tracker.Enter(c.guard.Clock.Now(), &c.client, usage.Whole)
}
