package scene

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

const (
	// busyShare is the share of the slots that the usual load keeps busy.
	busyShare = 0.4
	// settleTime is what the system may take to settle after a fault.
	settleTime = 2 * time.Second
	// cutSettle is what a domain that is cut off may take to serve its own.
	cutSettle = time.Second
)

// steady has a phase without faults and one with them, at the usual load.
func steady(p *fleet.Plan, seconds float64) []drive.Phase {
	rate := p.Capacity() * busyShare
	return []drive.Phase{
		{Name: phaseWarm, Seconds: warmSeconds, Rate: rate},
		{Name: phaseBefore, Seconds: seconds, Rate: rate},
		{Name: phaseFault, Seconds: seconds, Rate: rate},
	}
}

// atFault runs do when the fault phase begins.
func atFault(do func(w *World)) func(w *World, phases []drive.Phase) []Step {
	return func(w *World, phases []drive.Phase) []Step {
		return []Step{{At: startOf(phases, phaseFault), Do: func() { do(w) }}}
	}
}

func ratio(a, b yuccahinge.Millis) float64 {
	if b == 0 {
		return 0
	}
	return float64(a / b)
}

func faultFree() Scene {
	return Scene{
		Name:   "faultFree",
		About:  "the usual load, no fault",
		Phases: steady,
		Judge: func(r *Result) []Target {
			row := r.shipped().Row(phaseFault)
			return []Target{atLeast("coverage", "1", row.CoverageMean, 1)}
		},
	}
}
