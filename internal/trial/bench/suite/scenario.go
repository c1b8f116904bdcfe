// Package suite defines the fault scenarios of the benchmark and runs each of them on the implementations compared.
package suite

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// Scenario is a load with faults and targets.
type Scenario struct {
	Name        string
	Description string
	// Phases returns the phases of the load. The first is a warm-up that is not reported.
	Phases func(p *fleet.Plan, seconds float64) []load.Phase
	// AdaptPlan changes the plan (service, hosts, domains) for this scenario; it may be nil.
	AdaptPlan func(p *fleet.Plan)
	// Setup runs before the load starts; it may be nil.
	Setup func(t *Testbed)
	// Steps returns the faults, timed from the start of the load; it may be nil.
	Steps func(t *Testbed, phases []load.Phase) []Step
	// Marked returns searches with a given text that are sent besides the random ones and left out of the rows; it may be nil.
	Marked func(phases []load.Phase) []load.MarkedSearch
	// Evaluate evaluates the targets on the result; it may be nil.
	Evaluate func(r *Result) []Target
	// Sides names the variants that a run compares instead of the baseline and the shipped side.
	Sides []string
}

// Step is an action that runs at a time after the start of the load.
type Step struct {
	At time.Duration
	Do func()
}

// Target is a limit on a figure and whether the run met it.
type Target struct {
	Name string  `json:"name"`
	Want string  `json:"want"`
	Got  float64 `json:"got"`
	Met  bool    `json:"met"`
}

// warmSeconds is the length of the warm-up phase, which is not measured.
const warmSeconds = 3

// Run runs the scenario on one side. The seconds are the length of each measured phase.
func (s *Scenario) Run(ctx context.Context, side Side, plan fleet.Plan, seed uint64, seconds float64) (*Report, error) {
	for _, adapt := range []func(*fleet.Plan){s.AdaptPlan, side.AdaptPlan} {
		if adapt != nil {
			adapt(&plan)
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	t, err := newTestbed(ctx, group, &plan, &side, seed)
	if err != nil {
		return nil, err
	}
	report := s.measure(ctx, t, seconds)
	t.close()
	stop()
	return report, group.Wait()
}

func (s *Scenario) measure(ctx context.Context, t *Testbed, seconds float64) *Report {
	phases := s.Phases(t.Plan, seconds)
	g := &load.Generator{
		Service:       t.Plan.Service,
		DeadlineMs:    t.Plan.DeadlineMs,
		ClientDelayMs: t.Plan.ClientDelayMs,
		Phases:        phases,
		Seed:          t.Seed,
		Search:        t.search,
		Hosts:         t.Plan.Hosts,
	}
	if s.Setup != nil {
		s.Setup(t)
	}
	if s.Marked != nil {
		g.Marked = s.Marked(phases)
	}
	snapshots := snapshotPhases(ctx, t, phases)
	var timers []*time.Timer
	if s.Steps != nil {
		for _, step := range s.Steps(t, phases) {
			timers = append(timers, time.AfterFunc(step.At, step.Do))
		}
	}
	samples := g.Run(ctx)
	for _, timer := range timers {
		timer.Stop()
	}
	r := newReport(t, phases, samples, snapshots())
	t.traceSlowSearch(r)
	return r
}

// startOf returns the time from the start of the load to the start of the phase, or to the end of the load if no phase
// has the name.
func startOf(phases []load.Phase, name string) time.Duration {
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
