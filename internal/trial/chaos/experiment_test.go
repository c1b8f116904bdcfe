package chaos

import (
	"testing"
	"time"
)

// regressions are the seeds that exposed a bug in a host, each with a comment on its cause.
var regressions = []uint64{}

func TestShortExperiment(t *testing.T) {
	binary := buildBinary(t)
	for _, seed := range append([]uint64{1}, regressions...) {
		x := &Experiment{Binary: binary, Dir: t.TempDir(), Seed: seed, FaultDuration: 6 * time.Second}
		r, err := x.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if r.Answered < r.Requests/2 || r.Faults == 0 {
			t.Errorf("seed %d: fewer than half of the requests were answered, or no fault was injected: %+v", seed, r)
		}
	}
}
