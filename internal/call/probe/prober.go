// Package probe polls searchers for load reports, independently of queries.
package probe

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
)

const (
	// roundIntervalMs is the interval between rounds, and the shortest one between probes of an urgent searcher.
	roundIntervalMs = 200 * yuccahinge.Millis(1)
	// silentIntervalMs is the shortest interval between probes of a searcher that sends no replies.
	silentIntervalMs = 1 * yuccahinge.Second
	// defaultIntervalMs is the shortest interval between probes of any other searcher.
	defaultIntervalMs = 10 * yuccahinge.Second
	// timeoutMs bounds one probe.
	timeoutMs = 1 * yuccahinge.Second
	// maxConcurrent bounds the probes in flight.
	maxConcurrent = 16
	// maxPerRound bounds the probes of a round.
	maxPerRound = 64
)

// Reporter requests the load report of a searcher.
type Reporter interface {
	Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error)
}

// Prober polls searchers for load reports. New searchers are probed as soon as a round has room, those that an index
// change waits for in every round, and others at longer intervals. A probe also opens the connection that later queries
// use. States, Reporter and OnReport are required.
type Prober struct {
	States   yuccahinge.StateProvider
	Reporter Reporter
	// OnReport is called with each report and the time when it was requested.
	OnReport func(requested yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.LoadReport)
	// Urgent returns the searchers that an index change waits for; nil means none.
	Urgent func(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID
	// Silent returns the searchers that send no replies; nil means none.
	Silent func(s *yuccahinge.Service) []yuccahinge.SearcherID
	// Start reports whether a searcher may be probed now, and counts the probe if so; nil allows all probes.
	Start func(id yuccahinge.SearcherID, s *yuccahinge.Searcher) bool
	// BeforeRound, if set, is called before each round.
	BeforeRound func()
	Clock       yuccahinge.Clock

	lastProbe map[yuccahinge.SearcherID]yuccahinge.Millis
}

// target is a searcher to probe.
type target struct {
	id yuccahinge.SearcherID
	s  *yuccahinge.Searcher
}

// Run probes in rounds until ctx ends. It always returns nil.
func (p *Prober) Run(ctx context.Context) error {
	p.lastProbe = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	ticker := time.NewTicker(roundIntervalMs.Duration())
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// round probes the searchers that are due and waits for the probes.
func (p *Prober) round(ctx context.Context) {
	if p.BeforeRound != nil {
		p.BeforeRound()
	}
	state, _ := p.States.State()
	if state == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, t := range p.dueTargets(state) {
		group.Go(func() error {
			p.probe(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

func (p *Prober) probe(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, timeoutMs.Duration())
	defer cancel()
	requested := p.now()
	if r, err := p.Reporter.Load(ctx, t.id, t.s); err == nil {
		p.OnReport(requested, t.id, r)
	}
}

// dueTargets returns the searchers to probe in this round and records the time of their probes.
func (p *Prober) dueTargets(state *yuccahinge.State) []target {
	now := p.now()
	next := make(map[yuccahinge.SearcherID]yuccahinge.Millis, len(p.lastProbe))
	var out []target
	for name, s := range state.Services {
		if s == nil {
			continue
		}
		for _, id := range p.urgentSearchers(name, s) {
			out = p.appendDue(out, next, id, s.Index.Searchers[id], now, roundIntervalMs)
		}
		for _, id := range p.silentSearchers(s) {
			out = p.appendDue(out, next, id, s.Index.Searchers[id], now, silentIntervalMs)
		}
		for id, searcher := range s.Index.Searchers {
			out = p.appendDue(out, next, id, searcher, now, defaultIntervalMs)
		}
	}
	p.lastProbe = next
	return out
}

// appendDue appends the searcher to out if it is due, not in out yet, and the round is not full. It records the time of
// the searcher's last probe in next.
func (p *Prober) appendDue(out []target, next map[yuccahinge.SearcherID]yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher, now, interval yuccahinge.Millis) []target {
	last, known := p.lastProbe[id]
	if t, ok := next[id]; ok && t == now {
		return out
	}
	next[id] = last
	if s == nil || len(out) == maxPerRound || (known && now < last+interval) || p.Start != nil && !p.Start(id, s) {
		return out
	}
	next[id] = now
	return append(out, target{id, s})
}

func (p *Prober) urgentSearchers(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID {
	if p.Urgent == nil {
		return nil
	}
	return p.Urgent(name, s)
}

func (p *Prober) silentSearchers(s *yuccahinge.Service) []yuccahinge.SearcherID {
	if p.Silent == nil {
		return nil
	}
	return p.Silent(s)
}

func (p *Prober) now() yuccahinge.Millis {
	if p.Clock != nil {
		return p.Clock.Now()
	}
	return clock.Clock{}.Now()
}
