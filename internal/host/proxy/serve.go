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

// serve starts the goroutines of all components of the host in group. They end with ctx.
func (srv *Server) serve(ctx context.Context, group *errgroup.Group) {
	p := &srv.parts
	group.Go(func() error { return p.peers.Serve(ctx, p.caps.ListenMessages(srv.ports.peers)) })
	group.Go(func() error { return p.syncer.Run(ctx) })
	group.Go(func() error { return p.watcher.Run(ctx) })
	group.Go(func() error { return srv.countHosts(ctx) })
	group.Go(func() error { return srv.watchReach(ctx) })
	group.Go(func() error {
		return ports.ServeHTTP(ctx, p.callers, p.caps.Listen(srv.ports.callers, &p.caps.Callers))
	})
	group.Go(func() error { return ports.ServeHTTP(ctx, p.ready, p.caps.Listen(srv.ports.ready, &p.caps.Ready)) })
	group.Go(func() error {
		return ports.ServeHTTP(ctx, p.operators, p.caps.Listen(srv.ports.operators, &p.caps.Operators))
	})
	group.Go(func() error { return p.caps.Run(ctx, &srv.events) })
	if srv.Reload != nil {
		group.Go(func() error { return srv.followSettings(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		p.pool.Close()
		p.conns.Close()
		return nil
	})
}

// followSettings applies changed settings until ctx ends.
func (srv *Server) followSettings(ctx context.Context) error {
	return srv.Reload.Run(ctx, &srv.events, func(s *config.Settings) {
		srv.current.Store(s)
		srv.parts.syncer.SetSeeds(s.Seeds)
	})
}

// countHosts updates the number of entry hosts that share the searchers, records changes of readiness and forgets what no
// longer applies to searchers.
func (srv *Server) countHosts(ctx context.Context) error {
	t := time.NewTicker(countInterval)
	defer t.Stop()
	ready := false
	for {
		members := srv.parts.syncer.Roster().Members()
		srv.parts.share.SetHosts(srv.clock.Now(), len(members))
		strong, isStrong := srv.parts.selector.CountStrong(members)
		srv.parts.slack.SetMembers(srv.clock.Now(), len(members), strong, isStrong)
		srv.parts.limits.SetHosts(srv.clock.Now(), srv.limitHosts(members))
		srv.pruneSearchers()
		if ok, why := srv.ready(); ok != ready {
			ready = ok
			srv.recordReadiness(ok, why)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (srv *Server) recordReadiness(ok bool, why string) {
	if ok {
		srv.record(event.ProcessReady, "")
		return
	}
	srv.record(event.ProcessUnready, why)
}

// ConnectionShare returns this host's share of a searcher's connections.
func (srv *Server) ConnectionShare(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return srv.parts.share.Limit(srv.clock.Now(), s.Connections)
}

// slack returns this host's share of ExtraSlack, the number of extra attempts at a group of replicas that are allowed
// regardless of its requests.
func (srv *Server) slack(group yuccahinge.ServiceName) float64 {
	plan := srv.Plan()
	share := srv.parts.slack.Share(srv.clock.Now(), plan != nil && plan.IsShard(group))
	return share * srv.current.Load().Forward.ExtraSlack
}
