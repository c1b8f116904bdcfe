package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

func overload() Scenario {
	return Scenario{
		Name:        "overload",
		Description: "load at capacity, then at twice the capacity, then the usual load",
		Phases: func(p *fleet.Plan, seconds float64) []load.Phase {
			return []load.Phase{
				{Name: phaseWarm, Seconds: warmSeconds, Rate: p.Capacity() * busyShare},
				{Name: phaseBefore, Seconds: seconds, Rate: p.Capacity() * busyShare},
				{Name: phaseCapacity, Seconds: seconds, Rate: p.Capacity()},
				{Name: phaseFault, Seconds: seconds, Rate: 2 * p.Capacity()},
				{Name: phaseAfter, Seconds: seconds, Rate: p.Capacity() * busyShare},
			}
		},
		Evaluate: evaluateOverload,
	}
}

const phaseCapacity = "capacity"

func evaluateOverload(r *Result) []Target {
	s := r.shipped()
	capacity, fault := s.Row(phaseCapacity), s.Row(phaseFault)
	settled := s.SummarizeWindow(phaseAfter, settleTime, time.Hour)
	clients := 2 * r.Plan.ClientDelayMs
	return []Target{
		atLeast("goodput over that at capacity", ">= 0.9", fault.Goodput/capacity.Goodput, 0.9),
		atMost("refusals at p99 in ms, at the host", "<= 10", float64(fault.RefusedP99-clients), 10),
		atMost("failed searches", "0", float64(fault.Failed), 0),
		atMost("attempts", "<= 1.1", fault.Attempts, 1.1),
		atMost("p99 2 s after the end over fault-free", "<= 1.1", ratio(settled.P99, s.Row(phaseBefore).P99), 1.1),
	}
}
