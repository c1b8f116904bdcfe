// Command load is an open-loop load generator: it sends searches to entry hosts at a rate that does not depend on their
// answers, and prints latencies measured from the intended start of each search.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// histogramMaxMicros and histogramDigits are the range of the histograms, one minute in microseconds, and their
	// precision in significant digits.
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
	// maxIdleConnsPerHost is the maximum number of idle connections to each entry host.
	maxIdleConnsPerHost = 256
)

// options holds the command-line flags.
type options struct {
	hosts    string
	service  string
	rate     float64
	seconds  float64
	deadline float64
	seed     uint64
	json     bool
}

// result holds the counts, mean coverage and latency quantiles of a run.
type result struct {
	Searches int `json:"searches"`
	Complete int `json:"complete"`
	Partial  int `json:"partial"`
	NotRun   int `json:"notRun"`
	Failed   int `json:"failed"`
	Wrong    int `json:"wrong"`
	// Coverage is the mean of all searches.
	Coverage float64           `json:"coverageMean"`
	P50      yuccahinge.Millis `json:"p50"`
	P99      yuccahinge.Millis `json:"p99"`
	P999     yuccahinge.Millis `json:"p999"`
	// LagP99 is the delay from the intended to the actual start of a search: above a few ms, the generator was the
	// bottleneck.
	LagP99 yuccahinge.Millis `json:"lagP99"`
}

func main() {
	o := parseFlags()
	if o.hosts == "" || o.service == "" {
		fmt.Fprintln(os.Stderr, "load: missing hosts or service; set both --hosts and --service")
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := run(ctx, o)
	r.print(o.json)
	if r.Complete == 0 {
		os.Exit(exitFailed)
	}
}

func parseFlags() options {
	o := options{rate: 50, seconds: 5, deadline: 2000, seed: 1}
	flaggy.SetName("load")
	flaggy.SetDescription("Open-loop load generator for searches over HTTP.")
	flaggy.String(&o.hosts, "", "hosts", "callersAddr of each entry host, separated by commas")
	flaggy.String(&o.service, "", "service", "service to search")
	flaggy.Float64(&o.rate, "", "rate", "searches per second")
	flaggy.Float64(&o.seconds, "", "seconds", "duration of the run in seconds")
	flaggy.Float64(&o.deadline, "", "deadlineMs", "deadline of each search in milliseconds")
	flaggy.UInt64(&o.seed, "", "seed", "seed of the arrival times")
	flaggy.Bool(&o.json, "", "json", "print the result as JSON")
	flaggy.Parse()
	return o
}

func run(ctx context.Context, o options) result {
	hosts := strings.Split(o.hosts, ",")
	c := caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}}
	g := load.Generator{
		Service:    yuccahinge.ServiceName(o.service),
		DeadlineMs: yuccahinge.Millis(o.deadline),
		Phases:     []load.Phase{{Name: "load", Seconds: o.seconds, Rate: o.rate}},
		Seed:       o.seed,
		Hosts:      len(hosts),
		Search: func(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
			return c.search(ctx, hosts[host], r)
		},
	}
	return summarize(g.Run(ctx))
}

// summarize computes the result of a run. It skips samples without a latency.
func summarize(samples []load.Sample) result {
	var r result
	latency := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	lag := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	var coverage float64
	for i := range samples {
		s := &samples[i]
		if s.Latency == 0 {
			continue
		}
		r.Searches++
		r.countOutcome(s)
		coverage += s.Coverage()
		_ = latency.RecordValue(int64(s.Latency * 1000))
		_ = lag.RecordValue(int64(max(0, s.Lag) * 1000))
	}
	if r.Searches > 0 {
		r.Coverage = coverage / float64(r.Searches)
	}
	r.P50 = quantile(latency, 50)
	r.P99 = quantile(latency, 99)
	r.P999 = quantile(latency, 99.9)
	r.LagP99 = quantile(lag, 99)
	return r
}

func (r *result) countOutcome(s *load.Sample) {
	switch s.Outcome {
	case yuccahinge.Complete:
		r.Complete++
	case yuccahinge.Partial:
		r.Partial++
	case yuccahinge.NotRun:
		r.NotRun++
	default:
		r.Failed++
	}
	if s.Wrong {
		r.Wrong++
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) yuccahinge.Millis {
	return yuccahinge.Millis(h.ValueAtQuantile(q)) / 1000
}

func (r *result) print(asJSON bool) {
	if asJSON {
		body, _ := json.Marshal(r) // can't fail: the result holds only numbers
		fmt.Println(string(body))
		return
	}
	fmt.Printf("%d searches: %d complete, %d partial, %d notRun, %d failed, %d wrong; coverage %.4f\n",
		r.Searches, r.Complete, r.Partial, r.NotRun, r.Failed, r.Wrong, r.Coverage)
	fmt.Printf("p50 %.1f ms, p99 %.1f ms, p999 %.1f ms; generator late by %.1f ms at p99\n",
		float64(r.P50), float64(r.P99), float64(r.P999), float64(r.LagP99))
}
