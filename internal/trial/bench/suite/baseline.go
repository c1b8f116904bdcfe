package suite

import "github.com/yuccahinge/yuccahinge/internal/trial/bench/naive"

// Baseline returns the side that runs naive.Engine. The entry hosts divide the given connections per searcher evenly.
func Baseline(connections int) Side {
	return Side{
		Name: "baseline",
		New: func(c HostConfig) (Host, error) {
			return &naive.Engine{States: c.States, MaxConnsPerSearcher: connections / c.Hosts}, nil
		},
	}
}
