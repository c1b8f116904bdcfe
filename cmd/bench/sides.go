package main

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/suite"
)

// Names of the sides that run by default.
const (
	sideBaseline = "baseline"
	sideShipped  = "shipped"
)

// sides returns the sides that a run compares. The targets apply to the last one.
func sides(o *options, s *suite.Scenario, connections int) ([]suite.Side, error) {
	names := []string{sideBaseline, sideShipped}
	if len(s.Sides) > 0 {
		names = s.Sides
	}
	if len(o.sides) > 0 {
		names = o.sides
	}
	var out []suite.Side
	for _, name := range names {
		side, ok := findSide(name, connections)
		if !ok {
			return nil, fmt.Errorf("unknown side %q", name)
		}
		out = append(out, side)
	}
	return out, nil
}

func findSide(name string, connections int) (suite.Side, bool) {
	switch name {
	case sideBaseline:
		return suite.Baseline(connections), true
	case sideShipped:
		return suite.Shipped(sideShipped, nil), true
	default:
		return suite.Variant(name)
	}
}

func setMedian(p *fleet.Plan, ms float64) {
	if ms > 0 {
		p.MedianMs = yuccahinge.Millis(ms)
	}
}
