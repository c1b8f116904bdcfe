package gate

import (
	"context"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/chart"
)

const (
	// probeEvery is the time between two looks at what is cut off or kept out.
	probeEvery = 250 * time.Millisecond
	// askHelperEvery is the number of looks between two judgements whether this host serves.
	askHelperEvery = 2
	// probeMs bounds a probe, which takes a few milliseconds while the path works.
	probeMs = 400 * yuccahinge.Millis(1)
	// probesAtOnce bounds the probes of one look.
	probesAtOnce = 6
	// servedShare is how much of the worth of its requests a host must be able to bring to stay in the balancer's
	// rotation. A host that is cut off with some replicas brings less than half of it; one on the other side that lacks
	// a few shards by chance brings over three quarters, and nobody brings more.
	servedShare = 0.7
)

// prober asks searchers how they are.
type prober interface {
	Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error)
}

// watchReach follows which failure domains can be reached, and probes the searchers of those that can't be.
func (g *Gate) watchReach(ctx context.Context) error {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	cut := make(map[yuccahinge.DomainID]bool)
	g.warmed = make(map[yuccahinge.SearcherID]bool)
	for turn := 0; ; turn++ {
		now := g.clock.Now()
		next := make(map[yuccahinge.DomainID]bool)
		for _, d := range g.parts.route.Cut(now) {
			next[d] = true
		}
		g.recordCuts(cut, next)
		cut = next
		if turn%askHelperEvery == 0 {
			g.unserving.Store(!g.servesOrHelper(ctx, now))
		}
		g.probe(ctx, now, cut, turn)
		g.warm(g.Plan())
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gate) recordCuts(was, is map[yuccahinge.DomainID]bool) {
	for d := range is {
		if !was[d] {
			g.record(event.DomainCut, string(d))
		}
	}
	for d := range was {
		if !is[d] {
			g.record(event.DomainBack, string(d))
		}
	}
}

// servesOrHelper asks the host that runs the wide requests of this one, which learns of the searchers by them.
func (g *Gate) servesOrHelper(ctx context.Context, now yuccahinge.Millis) bool {
	widest := 0
	if plan := g.Plan(); plan != nil {
		for _, ix := range plan.Indexes {
			widest = max(widest, len(ix.Shards))
		}
	}
	if serves, known := g.parts.assign.HelperServes(ctx, widest); known {
		return serves
	}
	return g.serves(now)
}

// serves reports whether this host can answer what it is asked for as well as others. What no host can reach is no reason to
// send callers elsewhere, so that it always does while no failure domain is cut off.
func (g *Gate) serves(now yuccahinge.Millis) bool {
	plan := g.Plan()
	if plan == nil {
		return true
	}
	if len(g.parts.route.Cut(now)) == 0 {
		g.asked.Observe(now, plan.Entries)
		return true
	}
	return g.asked.Mean(plan.Entries, func(e *chart.Entry) float64 { return g.answers(now, e) }) >= servedShare
}

// answers returns what the best answer of a route from here is worth to its caller, from 0 to 1: shards that are
// left out cost the square of the share.
func (g *Gate) answers(now yuccahinge.Millis, e *chart.Entry) float64 {
	worst := 1.0
	for _, ix := range e.Targets() {
		if !g.parts.engine.Serves(now, ix, e.Route.LeastShare) {
			return 0
		}
		share := float64(g.parts.route.Reachable(now, ix)) / float64(len(ix.Shards))
		worst = min(worst, share*share)
	}
	return worst
}

// probe asks a few searchers that get no calls.
func (g *Gate) probe(ctx context.Context, now yuccahinge.Millis, cut map[yuccahinge.DomainID]bool, turn int) {
	plan := g.Plan()
	if plan == nil {
		return
	}
	asked := make(map[yuccahinge.DomainID]bool)
	left := probesAtOnce
	for _, ix := range plan.Indexes {
		for i := range ix.Shards {
			shard := &ix.Shards[(i+turn)%len(ix.Shards)]
			for _, id := range shard.Searchers {
				s := ix.Searchers[id]
				switch {
				case left == 0:
					return
				case cut[s.Domain] && !asked[s.Domain]:
					asked[s.Domain] = true
				case !cut[s.Domain] && g.parts.route.Ejected(now, id):
				default:
					continue
				}
				left--
				go g.probeOne(ctx, id, s)
			}
		}
	}
}

func (g *Gate) probeOne(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) {
	if s.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeMs.Duration())
	defer cancel()
	report, err := g.prober.Load(ctx, id, s)
	if err != nil {
		return // it stays out; the next look asks again
	}
	g.parts.route.Report(g.clock.Now(), id, report)
}
