package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

const (
	// idleTimeout bounds how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 16 << 10
	// readyPoll is the time between two looks at whether the host is ready, for the time line.
	readyPoll = 100 * time.Millisecond
)

// serve starts every part. They end with ctx.
func (n *Node) serve(ctx context.Context, g *errgroup.Group) {
	p := &n.parts
	g.Go(func() error { return p.peers.Serve(ctx, n.ports.peers) })
	g.Go(func() error { return p.keeper.Run(ctx) })
	g.Go(func() error { return p.tier.Run(ctx) })
	g.Go(func() error { return serveHTTP(ctx, p.callers, n.ports.callers) })
	g.Go(func() error { return serveHTTP(ctx, p.operators, n.ports.operators) })
	g.Go(func() error { return n.tellReadiness(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		return nil
	})
}

// serveHTTP serves until ctx ends. A server that was shut down before waits for ctx too.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// tellReadiness records when the host becomes ready or stops being so.
func (n *Node) tellReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	was := false
	for {
		if ok, why := n.ready(); ok != was {
			was = ok
			n.record(readinessCode(ok), why)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func readinessCode(ok bool) yuccahinge.EventCode {
	if ok {
		return event.ProcessReady
	}
	return event.ProcessUnready
}
