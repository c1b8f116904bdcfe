package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// idleTimeout bounds how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 16 << 10
)

// serve starts every part. They end with ctx.
func (n *Node) serve(ctx context.Context, g *errgroup.Group) {
	p := &n.parts
	g.Go(func() error { return p.peers.Serve(ctx, n.ports.peers) })
	g.Go(func() error { return p.keeper.Run(ctx) })
	g.Go(func() error { return p.tier.Run(ctx) })
	g.Go(func() error { return serveHTTP(ctx, p.callers, n.ports.callers) })
	g.Go(func() error { return serveHTTP(ctx, p.operators, n.ports.operators) })
	g.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		return nil
	})
}

// serveHTTP serves until ctx ends, on the connections that are open if the listener was closed before.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
