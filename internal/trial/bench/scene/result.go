package scene

import "github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"

// Result is a run of one scenario on all sides.
type Result struct {
	Scenario string     `json:"scenario"`
	Service  string     `json:"service"`
	Seed     uint64     `json:"seed"`
	Plan     fleet.Plan `json:"plan"`
	Sides    []*Report  `json:"sides"`
	Targets  []Target   `json:"targets"`
}

// shipped returns the side that targets are for: the last.
func (r *Result) shipped() *Report { return r.Sides[len(r.Sides)-1] }

// rounding is what a figure may miss its target by in the last digits of its arithmetic.
const rounding = 1e-9

func atMost(name, want string, got, most float64) Target {
	return Target{Name: name, Want: want, Got: got, Met: got <= most+rounding}
}

func atLeast(name, want string, got, least float64) Target {
	return Target{Name: name, Want: want, Got: got, Met: got >= least-rounding}
}
