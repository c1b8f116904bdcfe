package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/routes"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
)

const (
	// probeInterval is the time between two rounds of probes of searchers that are cut off or ejected.
	probeInterval = 250 * time.Millisecond
	// roundsPerServeCheck is the number of rounds between two checks whether this host is impaired.
	roundsPerServeCheck = 2
	// probeTimeoutMs bounds a probe, which takes a few milliseconds on a working network path.
	probeTimeoutMs = 400 * yuccahinge.Millis(1)
	// maxProbesPerRound bounds the probes that one round starts.
	maxProbesPerRound = 6
	// minServedShare is the share of its requests' worth (see answerWorth) that a host must be able to serve to stay in
	// the balancer's rotation. A host that is partitioned off with some of the replicas serves less than half. One on the
	// other side that lacks a few shards by chance serves over three quarters, and stays because no other host serves more.
	minServedShare = 0.7
)

// prober requests load reports from searchers.
type prober interface {
	Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error)
}

// watchReach records which failure domains are cut off, probes searchers that are cut off or ejected, updates
// isImpaired, and warms connections, once per probeInterval.
func (srv *Server) watchReach(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	cut := make(map[yuccahinge.DomainID]bool)
	srv.warmedSearchers = make(map[yuccahinge.SearcherID]bool)
	for round := 0; ; round++ {
		now := srv.clock.Now()
		next := make(map[yuccahinge.DomainID]bool)
		for _, d := range srv.parts.balancer.CutDomains(now) {
			next[d] = true
		}
		srv.recordCutDomains(cut, next)
		cut = next
		if round%roundsPerServeCheck == 0 {
			srv.isImpaired.Store(!srv.checkServing(ctx, now))
		}
		srv.probeSearchers(ctx, now, cut, round)
		srv.recordCapacity(now)
		srv.warmConnections(srv.Plan())
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (srv *Server) recordCutDomains(before, after map[yuccahinge.DomainID]bool) {
	for d := range after {
		if !before[d] {
			srv.record(event.DomainCut, string(d))
		}
	}
	for d := range before {
		if !after[d] {
			srv.record(event.DomainBack, string(d))
		}
	}
}

// checkServing reports whether this host can serve its callers. It queries the host that runs wide requests for this one,
// since those requests show that host which searchers are reachable, and checks locally if there is no answer.
func (srv *Server) checkServing(ctx context.Context, now yuccahinge.Millis) bool {
	widest := 0
	if plan := srv.Plan(); plan != nil {
		for _, ix := range plan.Indexes {
			widest = max(widest, len(ix.Shards))
		}
	}
	serves, known := srv.parts.assign.HelperCanServe(ctx, widest)
	srv.runsOwnRequests.Store(!known)
	if known {
		return serves
	}
	return srv.servesLocally(now)
}

// canServe reports whether this host can answer its requests about as well as other hosts. It does not wait for the next
// periodic check to find that a failure domain is cut off, because a host that leaves the rotation late refuses
// requests that other hosts would serve.
func (srv *Server) canServe() bool {
	if srv.isImpaired.Load() {
		return false
	}
	now := srv.clock.Now()
	if !srv.runsOwnRequests.Load() || len(srv.cutDomains(now)) == 0 || srv.servesLocally(now) {
		return true
	}
	srv.isImpaired.Store(true)
	return false
}

// handleHelperReply applies what a reply of the host that runs wide requests for this one says. Only a periodic check,
// which queries that host, shows that it can serve again.
func (srv *Server) handleHelperReply(canServe bool) {
	if !canServe {
		srv.isImpaired.Store(true)
	}
}

// cutDomains returns the failure domains that are cut off from this host, but for evacuated ones: no host calls their searchers.
func (srv *Server) cutDomains(now yuccahinge.Millis) []yuccahinge.DomainID {
	return slices.DeleteFunc(srv.parts.balancer.CutDomains(now), srv.parts.evacuations.IsEvacuated)
}

// servesLocally reports whether this host can answer its requests about as well as other hosts. It is always true while
// no failure domain is cut off, other than evacuated ones: callers gain nothing at another host if no host calls the missing
// searchers.
func (srv *Server) servesLocally(now yuccahinge.Millis) bool {
	plan := srv.Plan()
	if plan == nil {
		return true
	}
	srv.demandMu.Lock()
	defer srv.demandMu.Unlock()
	if len(srv.cutDomains(now)) == 0 {
		srv.demand.Observe(now, plan.Entries)
		return true
	}
	return srv.demand.Mean(plan.Entries, func(e *routes.Entry) float64 { return srv.answerWorth(now, e) }) >= minServedShare
}

// answerWorth returns the worth of the best answer that this host can give on a route, from 0 to 1: the square of the
// share of shards that are reachable, for the worst index of the route. It is 0 if an index can't be served at all.
func (srv *Server) answerWorth(now yuccahinge.Millis, e *routes.Entry) float64 {
	worth := 1.0
	for _, ix := range e.Indexes() {
		if !srv.parts.engine.CanServe(now, ix, e.Route.MinCoverage) {
			return 0
		}
		share := float64(srv.parts.balancer.ReachableShards(now, ix)) / float64(len(ix.Shards))
		worth = min(worth, share*share)
	}
	return worth
}

// probeSearchers starts probes of searchers that get no calls: one in each failure domain that is cut off, and the
// ejected ones elsewhere. The shard that it begins with changes with the round.
func (srv *Server) probeSearchers(ctx context.Context, now yuccahinge.Millis, cut map[yuccahinge.DomainID]bool, round int) {
	plan := srv.Plan()
	if plan == nil {
		return
	}
	probed := make(map[yuccahinge.DomainID]bool)
	left := maxProbesPerRound
	for _, ix := range plan.Indexes {
		for i := range ix.Shards {
			shard := &ix.Shards[(i+round)%len(ix.Shards)]
			for _, id := range shard.Searchers {
				s := ix.Searchers[id]
				switch {
				case left == 0:
					return
				case srv.parts.departures.IsDraining(id):
					continue
				case cut[s.Domain] && !probed[s.Domain]:
				case !cut[s.Domain] && srv.parts.balancer.IsEjected(now, id):
				default:
					continue
				}
				if s.HealthPath == "" || !srv.parts.balancer.StartProbe(now, id, s, shard.Service) {
					continue
				}
				probed[s.Domain] = true
				left--
				go srv.probeSearcher(ctx, id, s)
			}
		}
	}
}

// responds reports whether a searcher of a service responds to a health check, and false if none may be sent.
func (srv *Server) responds(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher, service yuccahinge.ServiceName) bool {
	if s.HealthPath == "" || srv.parts.departures.IsDraining(id) || !srv.parts.balancer.StartProbe(srv.clock.Now(), id, s, service) {
		return false
	}
	return srv.probeSearcher(ctx, id, s)
}

// probeSearcher sends a health check to a searcher, records its report, and reports whether there was one.
func (srv *Server) probeSearcher(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutMs.Duration())
	defer cancel()
	srv.countAttempt(meter.CauseProbe, id)
	sent := srv.clock.Now()
	report, err := srv.prober.Load(ctx, id, s)
	if err != nil {
		return false // a searcher that is ejected or cut off stays so; a later round probes again
	}
	srv.parts.balancer.RecordReport(srv.clock.Now(), id, report)
	srv.parts.engine.RecordReport(sent, id, report)
	srv.observeWarmup(id, report)
	return true
}
