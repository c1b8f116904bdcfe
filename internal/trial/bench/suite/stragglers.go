package suite

import (
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	stragglerShare  = 0.01
	stragglerFactor = 50
)

func addStragglers(t *Testbed) {
	for _, s := range t.Fleet.Searchers {
		s.UpdateFaults(func(f *server.Faults) {
			f.StragglerShare, f.StragglerFactor = stragglerShare, stragglerFactor
		})
	}
}

func stragglers() Scenario {
	return Scenario{
		Name:        "stragglers",
		Description: "1% of calls take 50 times as long",
		Phases:      steady,
		Steps:       atFault(addStragglers),
		Evaluate:    evaluateStragglers,
	}
}

func evaluateStragglers(r *Result) []Target {
	s := r.shipped()
	before, fault := s.Row(phaseBefore), s.Row(phaseFault)
	return []Target{
		atMost("p99 over fault-free", "<= 1.5", ratio(fault.P99, before.P99), 1.5),
		atMost("attempts", "<= 1.05", fault.Attempts, 1.05),
	}
}

func hedgeProtocol() Scenario {
	return Scenario{
		Name:        "hedgeProtocol",
		Description: "hedging of stragglers over HTTP/1.1 with the losing attempt finished or cancelled, and over clear-text HTTP/2",
		Phases:      steady,
		Steps:       atFault(addStragglers),
		Evaluate:    evaluateStragglers,
		Sides:       []string{"http1+leave", "http1+cancel", "h2c"},
	}
}
