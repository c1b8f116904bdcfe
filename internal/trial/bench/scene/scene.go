// Package scene holds the scenarios of the bench and runs them on each side.
package scene

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

// Scene is one scenario.
type Scene struct {
	Name  string
	About string
	// Phases are the parts of the load. The first is a warm-up that is not reported.
	Phases func(p *fleet.Plan, seconds float64) []drive.Phase
	// Adapt changes the plan; it may be nil.
	Adapt func(p *fleet.Plan)
	// Setup runs before the load; it may be nil.
	Setup func(w *World)
	// Steps are the faults, timed from the start of the load; it may be nil.
	Steps func(w *World, phases []drive.Phase) []Step
	// Marked are searches with their own text; it may be nil.
	Marked func(phases []drive.Phase) []drive.Marked
	// Judge compares the shipped side with the targets; it may be nil.
	Judge func(r *Result) []Target
	// Sides are the variants that the run compares in place of the baseline and the shipped side.
	Sides []string
}

// Step is a fault at its time.
type Step struct {
	At time.Duration
	Do func()
}

// Target is one target and whether the run met it.
type Target struct {
	Name string  `json:"name"`
	Want string  `json:"want"`
	Got  float64 `json:"got"`
	Met  bool    `json:"met"`
}

// warmSeconds is the warm-up before anything is measured.
const warmSeconds = 3

// Run runs the scenario on one side.
func (s *Scene) Run(ctx context.Context, side Side, plan fleet.Plan, seed uint64, seconds float64) (*Report, error) {
	for _, adapt := range []func(*fleet.Plan){s.Adapt, side.Adapt} {
		if adapt != nil {
			adapt(&plan)
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	w, err := newWorld(ctx, group, &plan, &side, seed)
	if err != nil {
		return nil, err
	}
	report := s.measure(ctx, w, seconds)
	w.close()
	stop()
	return report, group.Wait()
}

func (s *Scene) measure(ctx context.Context, w *World, seconds float64) *Report {
	phases := s.Phases(w.Plan, seconds)
	d := &drive.Drive{
		Service:    w.Plan.Service,
		DeadlineMs: w.Plan.DeadlineMs,
		ClientMs:   w.Plan.ClientMs,
		Phases:     phases,
		Seed:       w.Seed,
		Search:     w.search,
		Hosts:      w.Plan.Hosts,
	}
	if s.Setup != nil {
		s.Setup(w)
	}
	if s.Marked != nil {
		d.Marked = s.Marked(phases)
	}
	watch := watchPhases(ctx, w, phases)
	var timers []*time.Timer
	if s.Steps != nil {
		for _, step := range s.Steps(w, phases) {
			timers = append(timers, time.AfterFunc(step.At, step.Do))
		}
	}
	samples := d.Run(ctx)
	for _, t := range timers {
		t.Stop()
	}
	r := newReport(w, phases, samples, watch())
	w.traceSamples(r)
	return r
}

// startOf returns when the phase begins, from the start of the load.
func startOf(phases []drive.Phase, name string) time.Duration {
	var sum float64
	for _, p := range phases {
		if p.Name == name {
			break
		}
		sum += p.Seconds
	}
	return seconds(sum)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
