package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/suite"
)

func printTable(r *suite.Result, trace bool) {
	fmt.Printf("scenario %s, service %s, seed %d\n", r.Scenario, r.Service, r.Seed)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "side\tphase\tsearches\tp50\tp99\tp999\tcoverage\tmin\tlacking\tattempts\tnotRun\trefused p99\tfailed\tgoodput\tµs/call\tbusy\t")
	for _, side := range r.Sides {
		for _, row := range side.Rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.5f\t%.2f\t%d\t%.3f\t%.3f\t%.1f\t%d\t%.1f\t%.0f\t%.2f\t\n",
				side.Side, row.Phase, row.Searches, row.P50, row.P99, row.P999, row.CoverageMean, row.CoverageMin,
				row.Lacking, row.Attempts, row.NotRun, row.RefusedP99, row.Failed, row.Goodput, row.CPUPerAttemptUs, row.MachineBusy)
		}
	}
	_ = w.Flush()
	for _, side := range r.Sides {
		printNotes(side)
		if trace {
			fmt.Println(strings.Join(side.Trace, "\n"))
		}
	}
	for _, t := range r.Targets {
		printTarget(t)
	}
	fmt.Println()
}

func printNotes(s *suite.Report) {
	fmt.Printf("%s: connections at most %d, refused %d, made %d; wrong answers %d; crashes %v\n",
		s.Side, s.MaxConnections, s.ConnectionsRefused, s.Connects, s.Wrong, s.Crashes)
	for _, row := range s.Rows {
		if len(row.Reasons)+len(row.Codes) > 0 {
			fmt.Printf("%s: %s lacking %v, codes %v\n", s.Side, row.Phase, row.Reasons, row.Codes)
		}
	}
	for _, limit := range s.LimitedBy {
		fmt.Printf("%s: the policy was not the limit: %s\n", s.Side, limit)
	}
}

func printTarget(t suite.Target) {
	verdict := "missed"
	if t.Met {
		verdict = "met"
	}
	fmt.Printf("target %-45s want %-10s got %8.3f  %s\n", t.Name, t.Want, t.Got, verdict)
}

func printCSV(r *suite.Result) {
	w := csv.NewWriter(os.Stdout)
	defer w.Flush()
	_ = w.Write([]string{
		"scenario", "service", "seed", "side", "phase", "p50", "p99", "p999",
		"coverageMean", "coverageMin", "attempts", "notRun", "goodput",
	})
	for _, side := range r.Sides {
		for _, row := range side.Rows {
			_ = w.Write([]string{
				r.Scenario, r.Service, strconv.FormatUint(r.Seed, 10), side.Side, row.Phase,
				number(float64(row.P50)), number(float64(row.P99)), number(float64(row.P999)),
				number(row.CoverageMean), number(row.CoverageMin),
				number(row.Attempts), number(row.NotRun), number(row.Goodput),
			})
		}
	}
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}
