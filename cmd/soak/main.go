// Command soak simulates many entry hosts under random faults and checks invariants.
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
	breakName := ""
	flaggy.SetName("soak")
	flaggy.SetDescription("run long simulations with random faults and check invariants")
	flaggy.UInt64(&seed, "", "seed", "seed of the first run; a seed always gives the same run")
	flaggy.Int(&steps, "", "steps", "number of steps of each run")
	flaggy.Int(&seeds, "", "seeds", "number of runs with consecutive seeds")
	flaggy.String(&breakName, "", "break", "name of a break, a wrong decision to inject")
	flaggy.Bool(&list, "", "list", "list the breaks and exit")
	flaggy.Bool(&counts, "", "counts", "print how often each kind of event happened")
	flaggy.Parse()
	if list {
		printBreaks()
		return
	}
	if !isKnown(breakName) {
		fmt.Fprintf(os.Stderr, "soak: break: unknown name %q; --list prints the names\n", breakName)
		os.Exit(exitUsage)
	}
	for i := range seeds {
		w := world.World{Seed: seed + uint64(i), Break: world.Break(breakName)}
		if !run(&w, steps, counts) {
			os.Exit(exitViolation)
		}
	}
}

// run runs one seed, prints the result and reports whether no invariant was violated.
func run(w *world.World, steps int, counts bool) bool {
	start := time.Now()
	violation := w.Run(steps)
	if counts {
		printCounts(w.Counts())
	}
	if violation != nil {
		fmt.Print(violation)
		return false
	}
	fmt.Printf("seed %d: %d steps, %.0f s simulated, digest %016x, no violation, %.1f s\n",
		w.Seed, steps, w.SimulatedMs()/1000, w.Digest(), time.Since(start).Seconds())
	return true
}
