// Command storm runs entry hosts as separate processes under random faults and checks what callers and searchers see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/chaos"
)

func main() { os.Exit(run()) }

// options are the flags.
type options struct {
	binary, keep string
	seed         uint64
	seeds, busy  int
	length       time.Duration
	quiet        bool
	planned      bool
	freshCrashes int
	load         chaos.Load
	shape        chaos.Shape
	series       chaos.Series
	stall        chaos.Stall
}

func parseOptions() (*options, error) {
	o := &options{}
	flag.StringVar(&o.binary, "binary", "", "path of the entry host program")
	flag.Uint64Var(&o.seed, "seed", 1, "first seed")
	flag.IntVar(&o.seeds, "seeds", 1, "number of seeds")
	flag.DurationVar(&o.length, "length", 20*time.Second, "time during which faults are injected")
	flag.StringVar(&o.keep, "keep", "", "directory for settings and logs, one subdirectory per seed")
	flag.BoolVar(&o.quiet, "quiet", false, "do not print the faults")
	flag.IntVar(&o.busy, "busy", 0, "number of busy processes beside the hosts")
	series := flag.String("series", "", fmt.Sprintf("faults that follow one another, of %q; empty for single random faults", chaos.AllSeries))
	stall := flag.String("stall", "", fmt.Sprintf("way in which searchers stall in a series, of %q; empty for random ones", chaos.AllStalls))
	flag.IntVar(&o.load.Callers, "callers", 0, "number of callers; 0 for 8")
	flag.DurationVar(&o.load.Pause, "pause", 0, "longest pause of a caller between two requests; 0 for 25ms")
	flag.DurationVar(&o.load.Deadline, "deadline", 0, "deadline of each request; 0 for 800ms")
	flag.DurationVar(&o.load.ServiceTime, "service-time", 0, "service time of a searcher; 0 for 4ms")
	flag.IntVar(&o.load.Slots, "slots", 0, "requests that a searcher runs at a time; 0 for 2")
	flag.IntVar(&o.shape.Hosts, "hosts", 0, "number of entry hosts; 0 for 4")
	flag.IntVar(&o.shape.Weak, "weak", 0, "number of hosts with few cores")
	flag.IntVar(&o.shape.Shards, "shards", 0, "number of shards, with two searchers each; 0 for 9")
	flag.IntVar(&o.shape.Domains, "domains", 0, "number of failure domains; 0 for 2")
	flag.Float64Var(&o.shape.Slack, "slack", 0, "extra attempts at a service allowed in a window besides the ratio; 0 for 50")
	flag.DurationVar(&o.shape.DrainGrace, "drain-grace", 0, "grace of a drain; 0 for 2.8s")
	flag.DurationVar(&o.shape.DrainDeadline, "drain-deadline", 0, "deadline of a drain; 0 for 5.5s")
	flag.IntVar(&o.freshCrashes, "fresh-crashes", 1, "number of callers that send new requests that crash searchers all the time")
	flag.BoolVar(&o.planned, "planned", false, "inject only SIGTERM, SIGHUP and changes of the configuration")
	flag.Parse()
	o.series, o.stall = chaos.Series(*series), chaos.Stall(*stall)
	if o.binary == "" || o.keep == "" {
		return nil, fmt.Errorf("--binary and --keep are required")
	}
	if !slices.Contains(chaos.AllSeries, o.series) {
		return nil, fmt.Errorf("unknown series %q", o.series)
	}
	if o.stall != "" && !slices.Contains(chaos.AllStalls, o.stall) {
		return nil, fmt.Errorf("unknown stall %q", o.stall)
	}
	return o, nil
}

func run() int {
	if len(os.Args) == 2 && os.Args[1] == busyFlag {
		spin()
		return 0
	}
	o, err := parseOptions()
	if err != nil {
		fmt.Fprintln(os.Stderr, "storm:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopBusy, err := startBusy(o.busy)
	defer stopBusy()
	if err != nil {
		fmt.Fprintln(os.Stderr, "storm:", err)
		return 2
	}
	code := 0
	for n := o.seed; n < o.seed+uint64(o.seeds) && ctx.Err() == nil; n++ {
		if !o.runSeed(ctx, n) {
			code = 1
		}
	}
	return code
}

// runSeed runs one seed, prints the result and reports whether no invariant was violated.
func (o *options) runSeed(ctx context.Context, seed uint64) bool {
	x := &chaos.Experiment{
		Binary: o.binary, Dir: filepath.Join(o.keep, fmt.Sprint("seed-", seed)), Seed: seed, FaultDuration: o.length,
		Load: o.load, Shape: o.shape, Series: o.series, Stall: o.stall, OnlyPlanned: o.planned,
		FreshCrashes: o.freshCrashes,
	}
	if err := os.MkdirAll(x.Dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "storm:", err)
		return false
	}
	if !o.quiet {
		x.Out = os.Stdout
	}
	r, err := x.Run(ctx)
	if err != nil {
		fmt.Printf("seed %d did not run: %v\n", x.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered, %d refused, %d failed, %d taken after SIGTERM (%d refused), %d lost, %d violations\n",
		x.Seed, r.Faults, r.Requests, r.Answered, r.Refused, r.Failed, r.Draining, r.DrainingRefused, r.Lost, len(r.Violations))
	fmt.Printf("  closest window: %s\n  on too many searchers: %d requests; too long a deadline: %d calls, beside %d late repeats; longest lag of this process: %v\n",
		r.Closest, r.Overrun, r.LongDeadlines, r.LateRepeats, r.LongestLag)
	for _, v := range r.Violations {
		fmt.Println("  " + v)
	}
	return len(r.Violations) == 0
}
