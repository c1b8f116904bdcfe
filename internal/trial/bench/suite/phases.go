package suite

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

const (
	// busyShare is the usual load as a share of the capacity.
	busyShare = 0.4
	// settleTime is the time after the start or end of a fault that targets on settled figures leave out.
	settleTime = 2 * time.Second
	// partitionSettleTime is the time after which an isolated domain must serve the shards that it can reach.
	partitionSettleTime = time.Second
)

// steady returns a warm-up, a phase before the fault and a phase with the fault, all at the usual load.
func steady(p *fleet.Plan, seconds float64) []load.Phase {
	rate := p.Capacity() * busyShare
	return []load.Phase{
		{Name: phaseWarm, Seconds: warmSeconds, Rate: rate},
		{Name: phaseBefore, Seconds: seconds, Rate: rate},
		{Name: phaseFault, Seconds: seconds, Rate: rate},
	}
}

// atFault returns a single step that runs do when the fault phase begins.
func atFault(do func(t *Testbed)) func(t *Testbed, phases []load.Phase) []Step {
	return func(t *Testbed, phases []load.Phase) []Step {
		return []Step{{At: startOf(phases, phaseFault), Do: func() { do(t) }}}
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b yuccahinge.Millis) float64 {
	if b == 0 {
		return 0
	}
	return float64(a / b)
}

func faultFree() Scenario {
	return Scenario{
		Name:        "faultFree",
		Description: "the usual load, no fault",
		Phases:      steady,
		Evaluate: func(r *Result) []Target {
			row := r.shipped().Row(phaseFault)
			return []Target{atLeast("coverage", "1", row.CoverageMean, 1)}
		},
	}
}
