package scene

import "github.com/yuccahinge/yuccahinge/internal/trial/bench/naive"

// Baseline returns the side of the plain implementation.
func Baseline(connections int) Side {
	return Side{
		Name: "baseline",
		New: func(p Place) (Host, error) {
			return &naive.Engine{States: p.States, Share: connections / p.Hosts}, nil
		},
	}
}
