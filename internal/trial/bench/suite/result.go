package suite

import "github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"

// Result is the result of one scenario on all sides.
type Result struct {
	Scenario string     `json:"scenario"`
	Service  string     `json:"service"`
	Seed     uint64     `json:"seed"`
	Plan     fleet.Plan `json:"plan"`
	Sides    []*Report  `json:"sides"`
	Targets  []Target   `json:"targets"`
}

// shipped returns the report of the last side, which the targets apply to.
func (r *Result) shipped() *Report { return r.Sides[len(r.Sides)-1] }

// rounding is the tolerance of target comparisons for floating-point rounding errors.
const rounding = 1e-9

func atMost(name, want string, got, most float64) Target {
	return Target{Name: name, Want: want, Got: got, Met: got <= most+rounding}
}

func atLeast(name, want string, got, least float64) Target {
	return Target{Name: name, Want: want, Got: got, Met: got >= least-rounding}
}
