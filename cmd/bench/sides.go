package main

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/bench/fleet"
	"github.com/yuccahinge/yuccahinge/bench/scene"
)

// sides returns what a run compares; targets are for the last.
func sides(connections int) []scene.Side {
	return []scene.Side{scene.Baseline(connections), scene.Shipped("shipped", nil)}
}

func setMedian(p *fleet.Plan, ms float64) {
	if ms > 0 {
		p.MedianMs = yuccahinge.Millis(ms)
	}
}
