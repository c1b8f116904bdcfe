package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

const (
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 16 << 10
)

// serve starts the goroutines of all components of the host in g. They end with ctx.
func (n *Node) serve(ctx context.Context, g *errgroup.Group) {
	p := &n.parts
	g.Go(func() error { return p.peers.Serve(ctx, p.caps.ListenMessages(n.ports.peers)) })
	g.Go(func() error { return p.syncer.Run(ctx) })
	g.Go(func() error { return p.fanout.Run(ctx) })
	g.Go(func() error { return ports.ServeHTTP(ctx, p.callers, p.caps.Listen(n.ports.callers, &p.caps.Callers)) })
	g.Go(func() error {
		return ports.ServeHTTP(ctx, p.operators, p.caps.Listen(n.ports.operators, &p.caps.Operators))
	})
	g.Go(func() error { return p.caps.Run(ctx, &n.events) })
	if n.Reload != nil {
		g.Go(func() error { return n.followSettings(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		return nil
	})
}

// followSettings applies changed settings until ctx ends.
func (n *Node) followSettings(ctx context.Context) error {
	return n.Reload.Run(ctx, &n.events, func(s *config.Settings) {
		n.current.Store(s)
		n.parts.syncer.SetSeeds(s.Seeds)
	})
}
