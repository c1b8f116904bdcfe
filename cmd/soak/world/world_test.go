package world

import (
	"slices"
	"testing"
)

const shortSteps = 20000

func TestSameSeedSameRun(t *testing.T) {
	first := World{Seed: 7}
	second := World{Seed: 7}
	other := World{Seed: 8}
	first.Run(shortSteps)
	second.Run(shortSteps)
	other.Run(shortSteps)
	if first.Digest() != second.Digest() {
		t.Error("two runs with the same seed have different digests")
	}
	if first.Digest() == other.Digest() {
		t.Error("runs with different seeds have the same digest")
	}
}

func TestShortRunsKeepAllInvariants(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := World{Seed: seed}
		if v := w.Run(shortSteps); v != nil {
			t.Error(v)
		}
		for _, event := range []string{"kill", "pause", "host left", "searcher drain", "late reply", "ticket in force", "charge run", "search complete", "search partial"} {
			if w.Counts()[event] == 0 {
				t.Errorf("seed %d: the run has no event %q", seed, event)
			}
		}
	}
}

func TestEveryBreakIsFound(t *testing.T) {
	for _, b := range Breaks() {
		t.Run(string(b.Name), func(t *testing.T) {
			w := World{Seed: 1, Break: b.Name}
			v := w.Run(shortSteps)
			if v == nil {
				t.Fatal("no invariant is violated")
			}
			if !slices.Contains(b.Invariants, v.Invariant) {
				t.Errorf("the run violates %s, want one of %v", v.Invariant, b.Invariants)
			}
		})
	}
}
