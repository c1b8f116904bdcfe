// Command soak runs the decision parts of many hosts on a simulated clock under random faults and asserts
// what must always hold.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/cmd/soak/world"
)

// Exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
)

func main() {
	seed, steps, seeds := uint64(1), 50000, 1
	list, counts := false, false
	wrong := ""
	flaggy.SetName("soak")
	flaggy.SetDescription("long randomised runs with invariants asserted in the program")
	flaggy.UInt64(&seed, "", "seed", "seed of the first run; the same seed gives the same run")
	flaggy.Int(&steps, "", "steps", "steps of each run")
	flaggy.Int(&seeds, "", "seeds", "number of runs, each with the next seed")
	flaggy.String(&wrong, "", "break", "name of a wrong decision to swap in")
	flaggy.Bool(&list, "", "list", "list the breaks and end")
	flaggy.Bool(&counts, "", "counts", "print how often things happened")
	flaggy.Parse()
	if list {
		printBreaks()
		return
	}
	if !isKnown(wrong) {
		fmt.Fprintf(os.Stderr, "soak: break: %q is unknown; --list names them\n", wrong)
		os.Exit(exitUsage)
	}
	for i := range seeds {
		w := world.World{Seed: seed + uint64(i), Break: world.Break(wrong)}
		if !run(&w, steps, counts) {
			os.Exit(exitViolation)
		}
	}
}

// run runs one seed and reports whether nothing was violated.
func run(w *world.World, steps int, counts bool) bool {
	start := time.Now()
	v := w.Run(steps)
	if counts {
		printCounts(w.Counts())
	}
	if v != nil {
		fmt.Print(v)
		return false
	}
	fmt.Printf("seed %d: %d steps, %.0f s simulated, digest %016x, no violation, %.1f s\n",
		w.Seed, steps, w.SimulatedMs()/1000, w.Digest(), time.Since(start).Seconds())
	return true
}
