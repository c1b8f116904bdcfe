// Command bench compares the shipped policy with a simple baseline over real sockets, under load and faults.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/suite"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the command-line flags.
type options struct {
	list, json, csv, trace bool
	scenario               string
	service                string
	sides                  []string
	profile                string
	seed                   uint64
	seconds                float64
	medianMs               float64
}

func main() {
	o := options{service: "trainerSearch", seed: 1, seconds: 10}
	flaggy.SetName("bench")
	flaggy.SetDescription("Compares the shipped policy with a baseline over stand-in searchers.")
	flaggy.Bool(&o.list, "", "list", "list the scenarios and services")
	flaggy.String(&o.scenario, "", "scenario", "scenario to run, or all")
	flaggy.String(&o.service, "", "service", "service whose plan is used")
	flaggy.StringSlice(&o.sides, "", "side", "sides to run: baseline, shipped, or variants separated by +")
	flaggy.UInt64(&o.seed, "", "seed", "seed of arrivals and service times")
	flaggy.Float64(&o.seconds, "", "seconds", "length of each measured phase")
	flaggy.Float64(&o.medianMs, "", "median-ms", "median service time, 0 for that of the plan")
	flaggy.Bool(&o.json, "", "json", "print the result as JSON")
	flaggy.Bool(&o.csv, "", "csv", "print the rows as CSV")
	flaggy.Bool(&o.trace, "", "trace", "print the timeline of the search at p99 in the fault phase")
	flaggy.String(&o.profile, "", "cpu-profile", "file for a CPU profile of the whole bench process")
	flaggy.Parse()
	os.Exit(run(&o))
}

func run(o *options) int {
	if o.list {
		printList()
		return 0
	}
	plan, ok := findPlan(o)
	scenarios := findScenarios(o.scenario)
	if !ok || len(scenarios) == 0 {
		fmt.Fprintln(os.Stderr, "bench: unknown scenario or service; --list prints both")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopProfile, err := startProfile(o.profile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer stopProfile()
	for _, s := range scenarios {
		result, err := runScenario(ctx, o, &s, plan)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		if ctx.Err() != nil {
			return exitFailed
		}
		show(o, result)
	}
	return 0
}

func runScenario(ctx context.Context, o *options, s *suite.Scenario, plan fleet.Plan) (*suite.Result, error) {
	if s.AdaptPlan != nil {
		s.AdaptPlan(&plan)
	}
	result := &suite.Result{Scenario: s.Name, Service: string(plan.Service), Seed: o.seed, Plan: plan}
	all, err := sides(o, s, plan.Connections)
	if err != nil {
		return nil, err
	}
	for _, side := range all {
		report, err := s.Run(ctx, side, plan, o.seed, o.seconds)
		if err != nil {
			return nil, err
		}
		result.Sides = append(result.Sides, report)
	}
	if s.Evaluate != nil && len(result.Sides) > 0 {
		result.Targets = s.Evaluate(result)
	}
	return result, nil
}

func findPlan(o *options) (fleet.Plan, bool) {
	for _, p := range fleet.Plans() {
		if string(p.Service) == o.service {
			setMedian(&p, o.medianMs)
			return p, true
		}
	}
	return fleet.Plan{}, false
}

func findScenarios(name string) []suite.Scenario {
	var out []suite.Scenario
	for _, s := range suite.All() {
		if s.Name == name || name == "all" {
			out = append(out, s)
		}
	}
	return out
}

func printList() {
	for _, s := range suite.All() {
		fmt.Printf("%-16s %s\n", s.Name, s.Description)
	}
	fmt.Println("sides baseline, shipped, or shipped with one or more of", strings.Join(suite.VariantNames(), ", "))
	for _, p := range fleet.Plans() {
		fmt.Printf("service %-16s fan-out %d, prefers %s\n", p.Service, p.FanOut, p.Preference)
	}
}

func show(o *options, r *suite.Result) {
	if o.json {
		line, _ := json.Marshal(r)
		fmt.Println(string(line))
		return
	}
	if o.csv {
		printCSV(r)
		return
	}
	printTable(r, o.trace)
}
