package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/yuccahinge/yuccahinge/cmd/soak/world"
)

func printBreaks() {
	for _, b := range world.Breaks() {
		fmt.Printf("%-20s %s; found by %v\n", b.Name, b.Description, b.Invariants)
	}
}

func printCounts(counts map[string]int) {
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%8d %s\n", counts[event], event)
	}
}

// isKnown reports whether a break has this name. The empty name stands for no break.
func isKnown(name string) bool {
	return name == "" || slices.ContainsFunc(world.Breaks(), func(b world.BreakInfo) bool { return string(b.Name) == name })
}
