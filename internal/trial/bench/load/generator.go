// Package load is an open-loop load generator: it starts searches at random times that do not depend on the latency of
// earlier ones.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Generator is an open-loop load. Latencies are measured from the intended start of each search, so that they include the
// wait of searches that start late.
type Generator struct {
	Service    yuccahinge.ServiceName
	DeadlineMs yuccahinge.Millis
	// ClientDelayMs is the one-way network delay between a client and an entry host.
	ClientDelayMs yuccahinge.Millis
	Phases        []Phase
	Seed          uint64
	// Search sends a search to the entry host with the given index, from 0 to Hosts-1.
	Search func(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
	// Hosts is the number of entry hosts. Each search goes to one chosen at random.
	Hosts int
	// Marked are searches with a given text that are sent besides the random ones, in the order of their times.
	Marked []MarkedSearch
}

// Phase is a part of the load with a constant arrival rate.
type Phase struct {
	Name    string
	Seconds float64
	// Rate is in searches per second.
	Rate float64
}

// MarkedSearch is a search with a given text, sent at a given time after the start of the load.
type MarkedSearch struct {
	At    time.Duration
	Query string
}

// arrival is a planned search.
type arrival struct {
	at     time.Duration
	phase  int
	host   int
	query  string
	marked bool
}

// Run sends all searches and returns a sample for each, in the order of their intended times. If ctx ends, the samples of
// searches that were not started are zero.
func (g *Generator) Run(ctx context.Context) []Sample {
	plan := g.plan()
	samples := make([]Sample, len(plan))
	start := time.Now()
	var searches sync.WaitGroup
	for i := range plan {
		sleepUntil(start.Add(plan[i].at))
		if ctx.Err() != nil {
			break
		}
		searches.Go(func() { samples[i] = g.runSearch(ctx, i, start, &plan[i]) })
	}
	searches.Wait()
	return samples
}

// plan draws all arrivals before the load starts. They depend only on the fields of Generator, so that all sides of a run
// get the same load.
func (g *Generator) plan() []arrival {
	rng := rand.New(rand.NewPCG(g.Seed, 1))
	var out []arrival
	var start time.Duration
	marked := g.Marked
	for i, p := range g.Phases {
		end := start + seconds(p.Seconds)
		for at := start + interarrivalTime(rng, p.Rate); at < end; at += interarrivalTime(rng, p.Rate) {
			for len(marked) > 0 && marked[0].At <= at {
				out = append(out, arrival{marked[0].At, i, rng.IntN(g.Hosts), marked[0].Query, true})
				marked = marked[1:]
			}
			out = append(out, arrival{at, i, rng.IntN(g.Hosts), fmt.Sprintf("query %d", rng.IntN(1<<20)), false})
		}
		start = end
	}
	return out
}

// interarrivalTime draws the time between two arrivals of a Poisson process.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return seconds(rng.ExpFloat64() / rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func sleepUntil(due time.Time) {
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
}

func (g *Generator) runSearch(ctx context.Context, i int, start time.Time, a *arrival) Sample {
	query, _ := json.Marshal(a.query)
	id := yuccahinge.RequestID(fmt.Sprintf("bench-%d-%d", g.Seed, i))
	s := Sample{ID: id, Phase: a.phase, Host: a.host, At: a.at, Marked: a.marked}
	s.Lag = yuccahinge.MillisOf(time.Since(start) - a.at)
	time.Sleep(g.ClientDelayMs.Duration())
	answer, err := g.Search(ctx, a.host, &yuccahinge.SearchRequest{
		RequestID:  id,
		Service:    g.Service,
		Query:      query,
		DeadlineMs: g.DeadlineMs,
	})
	time.Sleep(g.ClientDelayMs.Duration())
	s.Latency = yuccahinge.MillisOf(time.Since(start) - a.at)
	s.setResult(answer, err, g.Service)
	return s
}

func (s *Sample) setResult(a *yuccahinge.SearchAnswer, err error, service yuccahinge.ServiceName) {
	var searchErr *yuccahinge.Error
	if errors.As(err, &searchErr) {
		s.Outcome, s.Code = searchErr.Outcome, searchErr.Code
		return
	}
	if err != nil {
		s.Outcome, s.Code = yuccahinge.Unknown, yuccahinge.CodeInternal
		return
	}
	s.Outcome = a.Outcome
	s.Asked = a.Coverage.Total
	s.Covered = a.Coverage.Total - len(a.Coverage.Lacking)
	s.Reasons = countReasons(a.Coverage.Lacking)
	s.Version = a.IndexVersion
	s.Wrong = isWrong(a, service)
}

func countReasons(lacking []yuccahinge.LackingShard) map[yuccahinge.Reason]int {
	if len(lacking) == 0 {
		return nil
	}
	out := map[yuccahinge.Reason]int{}
	for _, l := range lacking {
		out[l.Reason]++
	}
	return out
}

// hitsPerShard is the number of hits that a stand-in searcher returns.
const hitsPerShard = 3

// isWrong reports whether the number of hits is not that of the covered shards, or a hit is of another service or index
// version.
func isWrong(a *yuccahinge.SearchAnswer, service yuccahinge.ServiceName) bool {
	prefix := fmt.Sprintf("%s-%d-", service, a.IndexVersion)
	for _, h := range a.Hits {
		if !strings.HasPrefix(string(h.ID), prefix) {
			return true
		}
	}
	return len(a.Hits) != hitsPerShard*(a.Coverage.Total-len(a.Coverage.Lacking))
}
