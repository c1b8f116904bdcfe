// Package probe provides the shell that asks searchers for their reports outside of queries.
package probe

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
)

const (
	// everyMs is the pause between two rounds.
	everyMs = 200 * yuccahinge.Millis(1)
	// quietMs is the time after which a searcher that brings no replies is asked again.
	quietMs = 1 * yuccahinge.Second
	// againMs is the time after which a searcher that needs no urgent probe is asked again.
	againMs = 10 * yuccahinge.Second
	// timeoutMs bounds one probe.
	timeoutMs = 1 * yuccahinge.Second
	// mostAtOnce bounds the probes in flight.
	mostAtOnce = 16
	// mostPerRound bounds the probes of a round.
	mostPerRound = 64
)

// Loader asks a searcher for its load report.
type Loader interface {
	Load(ctx context.Context, id yuccahinge.SearcherID, s *yuccahinge.Searcher) (*yuccahinge.LoadReport, error)
}

// Probe asks searchers for their reports: at once those that are new or whose versions an index change
// waits for, and every other one now and then. A probe opens the connection that later queries use.
// States, Loader and Heard are required.
type Probe struct {
	States yuccahinge.StateHolder
	Loader Loader
	// Heard takes each report and when it was asked for.
	Heard func(asked yuccahinge.Millis, id yuccahinge.SearcherID, r *yuccahinge.LoadReport)
	// Urgent returns the searchers that an index change waits for; nil for none.
	Urgent func(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID
	// Quiet returns the searchers that bring no replies; nil for none.
	Quiet func(s *yuccahinge.Service) []yuccahinge.SearcherID
	// Round is called before each round; nil for nothing.
	Round func()
	Clock yuccahinge.Clock

	asked map[yuccahinge.SearcherID]yuccahinge.Millis
}

// target is a searcher to be asked.
type target struct {
	id yuccahinge.SearcherID
	s  *yuccahinge.Searcher
}

// Run asks until ctx ends.
func (p *Probe) Run(ctx context.Context) error {
	p.asked = make(map[yuccahinge.SearcherID]yuccahinge.Millis)
	ticker := time.NewTicker(everyMs.Duration())
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

func (p *Probe) round(ctx context.Context) {
	if p.Round != nil {
		p.Round()
	}
	state, _ := p.States.State()
	if state == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(mostAtOnce)
	for _, t := range p.targets(state) {
		group.Go(func() error {
			p.ask(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

func (p *Probe) ask(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, timeoutMs.Duration())
	defer cancel()
	asked := p.now()
	if r, err := p.Loader.Load(ctx, t.id, t.s); err == nil {
		p.Heard(asked, t.id, r)
	}
}

// targets returns the searchers to be asked in this round and notes that they were.
func (p *Probe) targets(state *yuccahinge.State) []target {
	now := p.now()
	seen := make(map[yuccahinge.SearcherID]yuccahinge.Millis, len(p.asked))
	var out []target
	for name, s := range state.Services {
		if s == nil {
			continue
		}
		for _, id := range p.urgent(name, s) {
			out = p.add(out, seen, id, s.Index.Searchers[id], now, everyMs)
		}
		for _, id := range p.quiet(s) {
			out = p.add(out, seen, id, s.Index.Searchers[id], now, quietMs)
		}
		for id, searcher := range s.Index.Searchers {
			out = p.add(out, seen, id, searcher, now, againMs)
		}
	}
	p.asked = seen
	return out
}

// add appends the searcher when it is due, was not added before and there is room in the round.
func (p *Probe) add(out []target, seen map[yuccahinge.SearcherID]yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher, now, every yuccahinge.Millis) []target {
	at, known := p.asked[id]
	if last, ok := seen[id]; ok && last == now {
		return out
	}
	seen[id] = at
	if s == nil || len(out) == mostPerRound || (known && now < at+every) {
		return out
	}
	seen[id] = now
	return append(out, target{id, s})
}

func (p *Probe) urgent(name yuccahinge.ServiceName, s *yuccahinge.Service) []yuccahinge.SearcherID {
	if p.Urgent == nil {
		return nil
	}
	return p.Urgent(name, s)
}

func (p *Probe) quiet(s *yuccahinge.Service) []yuccahinge.SearcherID {
	if p.Quiet == nil {
		return nil
	}
	return p.Quiet(s)
}

func (p *Probe) now() yuccahinge.Millis {
	if p.Clock != nil {
		return p.Clock.Now()
	}
	return clock.Clock{}.Now()
}
