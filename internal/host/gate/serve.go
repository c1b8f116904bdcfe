package gate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// countEvery is the time between two counts of the entry hosts.
const countEvery = 1 * time.Second

// serve starts every part. They end with ctx.
func (g *Gate) serve(ctx context.Context, group *errgroup.Group) {
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
		group.Go(func() error { return g.follow(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		p.conns.Close()
		return nil
	})
}

// follow puts changed settings in force while the host runs.
func (g *Gate) follow(ctx context.Context) error {
	return g.Reload.Run(ctx, &g.events, func(s *config.Settings) {
		g.current.Store(s)
		g.parts.keeper.Reseed(s.Seeds)
	})
}

// countHosts keeps the number of entry hosts that share the searchers.
func (g *Gate) countHosts(ctx context.Context) error {
	t := time.NewTicker(countEvery)
	defer t.Stop()
	ready := false
	for {
		members := g.parts.keeper.Roster().Members()
		g.parts.share.Observe(g.clock.Now(), len(members))
		strong, self := g.parts.place.Strong(members)
		g.parts.strong.Observe(g.clock.Now(), strong)
		g.isStrong.Store(self)
		if ok, why := g.ready(); ok != ready {
			ready = ok
			g.recordReady(ok, why)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gate) recordReady(ok bool, why string) {
	if ok {
		g.record(event.ProcessReady, "")
		return
	}
	g.record(event.ProcessUnready, why)
}

// connections returns this host's share of a searcher's connections.
func (g *Gate) connections(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return g.parts.share.Limit(g.clock.Now(), s.Connections)
}

// slack returns this host's share of the extra attempts at a service that need no request. It is none until the other
// hosts are known, since a host that has just started forgets what it has sent. The strong hosts send most of what goes
// to shards, and share most of it.
func (g *Gate) slack(group yuccahinge.ServiceName) float64 {
	if g.clock.Now() < g.started+settleMs {
		return 0
	}
	all := g.current.Load().Forward.ExtraSlack
	hosts := g.parts.share.Hosts()
	strong := g.parts.strong.Hosts()
	plan := g.Plan()
	if plan == nil || !plan.IsShard(group) || strong >= hosts {
		return slackShare * all / float64(hosts)
	}
	if g.isStrong.Load() {
		return strongShare * all / float64(strong)
	}
	return (slackShare - strongShare) * all / float64(hosts-strong)
}
