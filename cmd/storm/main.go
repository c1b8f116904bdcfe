// Command storm runs entry hosts as separate processes under random faults and checks what callers and searchers see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/storm"
)

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("binary", "", "program of the entry hosts")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("length", 20*time.Second, "time in which faults come")
	hosts := flag.Int("hosts", 4, "number of entry hosts")
	keep := flag.String("keep", "", "directory that takes the logs")
	quiet := flag.Bool("quiet", false, "print no faults")
	flag.Parse()
	if *binary == "" || *keep == "" {
		fmt.Fprintln(os.Stderr, "storm: --binary and --keep are needed")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := 0
	for n := *seed; n < *seed+uint64(*seeds) && ctx.Err() == nil; n++ {
		if !play(ctx, &storm.Storm{Binary: *binary, Seed: n, Length: *length, Hosts: *hosts}, *keep, *quiet) {
			code = 1
		}
	}
	return code
}

// play runs one seed and reports whether every promise was kept.
func play(ctx context.Context, s *storm.Storm, keep string, quiet bool) bool {
	s.Dir = filepath.Join(keep, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "storm:", err)
		return false
	}
	if !quiet {
		s.Out = os.Stdout
	}
	r, err := s.Run(ctx)
	if err != nil {
		fmt.Printf("seed %d was not played: %v\n", s.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered, %d refused, %d failed, %d violations\n",
		s.Seed, r.Faults, r.Requests, r.Answered, r.Refused, r.Failed, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  " + v)
	}
	return len(r.Violations) == 0
}
