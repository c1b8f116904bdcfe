package proxy

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// countInterval is the time between two counts of the entry hosts and checks of readiness.
const countInterval = 1 * time.Second

// serve starts the goroutines of all parts in group. They end with ctx.
func (g *Server) serve(ctx context.Context, group *errgroup.Group) {
	p := &g.parts
	group.Go(func() error { return p.peers.Serve(ctx, g.ports.peers) })
	group.Go(func() error { return p.keeper.Run(ctx) })
	group.Go(func() error { return p.feed.Run(ctx) })
	group.Go(func() error { return g.countHosts(ctx) })
	group.Go(func() error { return g.watchReach(ctx) })
	group.Go(func() error { return ports.ServeHTTP(ctx, p.callers, g.ports.callers) })
	group.Go(func() error { return ports.ServeHTTP(ctx, p.ready, g.ports.ready) })
	group.Go(func() error { return ports.ServeHTTP(ctx, p.operators, g.ports.operators) })
	if g.Reload != nil {
		group.Go(func() error { return g.followSettings(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		p.conns.Close()
		return nil
	})
}

// followSettings applies changed settings until ctx ends.
func (g *Server) followSettings(ctx context.Context) error {
	return g.Reload.Run(ctx, &g.events, func(s *config.Settings) {
		g.current.Store(s)
		g.parts.keeper.SetSeeds(s.Seeds)
	})
}

// countHosts updates the number of entry hosts that share the searchers and records changes of readiness.
func (g *Server) countHosts(ctx context.Context) error {
	t := time.NewTicker(countInterval)
	defer t.Stop()
	ready := false
	for {
		members := g.parts.keeper.Roster().Members()
		g.parts.share.SetHosts(g.clock.Now(), len(members))
		strong, isStrong := g.parts.place.CountStrong(members)
		g.parts.strongHosts.SetHosts(g.clock.Now(), strong)
		g.isStrong.Store(isStrong)
		if ok, why := g.ready(); ok != ready {
			ready = ok
			g.recordReadiness(ok, why)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Server) recordReadiness(ok bool, why string) {
	if ok {
		g.record(event.ProcessReady, "")
		return
	}
	g.record(event.ProcessUnready, why)
}

// connections returns this host's share of a searcher's connections.
func (g *Server) connections(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return g.parts.share.Limit(g.clock.Now(), s.Connections)
}

// slack returns this host's share of ExtraSlack, the extra attempts at a service that need no request. It is zero for
// membershipSettleMs after a start: the other hosts are not known yet, and a restarted host has lost its count of the
// attempts sent. Strong hosts send most attempts to shards and so divide most of the slack.
func (g *Server) slack(group yuccahinge.ServiceName) float64 {
	if g.clock.Now() < g.started+membershipSettleMs {
		return 0
	}
	total := g.current.Load().Forward.ExtraSlack
	hosts := g.parts.share.Hosts()
	strong := g.parts.strongHosts.Hosts()
	plan := g.Plan()
	if plan == nil || !plan.IsShard(group) || strong >= hosts {
		return slackShare * total / float64(hosts)
	}
	if g.isStrong.Load() {
		return strongSlackShare * total / float64(strong)
	}
	return (slackShare - strongSlackShare) * total / float64(hosts-strong)
}
