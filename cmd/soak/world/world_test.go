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
		t.Error("two runs of one seed differ")
	}
	if first.Digest() == other.Digest() {
		t.Error("runs of two seeds are the same")
	}
}

func TestShortRunsHold(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := World{Seed: seed}
		if v := w.Run(shortSteps); v != nil {
			t.Error(v)
		}
		for _, what := range []string{"kill", "pause", "host left", "searcher drain", "late reply", "ticket in force", "charge run", "search complete", "search partial"} {
			if w.Counts()[what] == 0 {
				t.Errorf("seed %d: no %s", seed, what)
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
				t.Fatal("not found")
			}
			if !slices.Contains(b.Invariants, v.Invariant) {
				t.Errorf("found by %s, want one of %v", v.Invariant, b.Invariants)
			}
		})
	}
}
