package proxy

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/warmup"
)

// wireWarmups sets up what this host knows about cold searchers, and the division of their warm-up rates among the hosts, if the
// settings have a bound on the requests to them. Otherwise no searcher ever counts as cold.
func (srv *Server) wireWarmups() {
	p := &srv.parts
	s := srv.Settings.Forward
	if s.WarmupOvershoot == 0 && s.WarmupSlack == 0 {
		return
	}
	p.watcher.WatchWarmups = true
	p.balancer.Warmups = &p.warmups
	p.limits.Warmups = &p.warmups
	p.limits.WarmupRate = srv.warmupRate
	p.limits.WarmupOvershoot, p.limits.WarmupSlack = s.WarmupOvershoot, s.WarmupSlack
	p.limits.HasSeeds = p.slack.HasSeeds
	p.warmups.OnChange = srv.handleWarmups
	p.syncer.Subscribe(func(n yuccahinge.Notice) {
		if n.Kind == yuccahinge.NoticeCold {
			p.warmups.Learn(srv.clock.Now(), &n)
		}
	})
}

// warmupRate returns the warm-up rate of a service, zero for none.
func (srv *Server) warmupRate(name yuccahinge.ServiceName) yuccahinge.RequestRate {
	plan := srv.Plan()
	if plan == nil {
		return 0
	}
	return plan.Routing.Services[name].WarmupRate
}

// handleWarmups records searchers that have become cold, and announces what only this host knows.
func (srv *Server) handleWarmups(c warmup.Change) {
	if c.Announcement != nil {
		srv.parts.syncer.Broadcast(*c.Announcement)
	}
	srv.events.Record(yuccahinge.Event{
		Code: event.SearchersCold, Searcher: c.Searchers[0],
		Detail: fmt.Sprintf("%d searchers, for up to %.0f ms", len(c.Searchers), c.LongestMs),
	})
}

// updateWarmups applies a new list of searchers to what this host knows about cold ones.
func (srv *Server) updateWarmups(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	if srv.parts.balancer.Warmups != nil {
		srv.parts.warmups.Update(srv.clock.Now(), services)
	}
}

// observeWarmup applies the load report of a health check to what this host knows about cold searchers.
func (srv *Server) observeWarmup(id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	if srv.parts.balancer.Warmups != nil {
		srv.parts.warmups.Observe(srv.clock.Now(), id, report)
	}
}
