// Package drive sends searches at intended times that do not depend on how earlier ones went.
package drive

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

// Drive is an open-loop load. Latencies count from the intended start of each search.
type Drive struct {
	Service    yuccahinge.ServiceName
	DeadlineMs yuccahinge.Millis
	// ClientMs is one way between a client and an entry host.
	ClientMs yuccahinge.Millis
	Phases   []Phase
	Seed     uint64
	// Search runs a search on the entry host numbered host.
	Search func(ctx context.Context, host int, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
	// Hosts is the number of entry hosts, chosen at random for each search.
	Hosts int
	// Marked are searches with a text of their own, beside the random ones.
	Marked []Marked
}

// Phase is a time with one rate of arrivals.
type Phase struct {
	Name    string
	Seconds float64
	// Rate is in searches a second.
	Rate float64
}

// Marked is a search with its own text at its own time.
type Marked struct {
	At    time.Duration
	Query string
}

// arrival is a search to be.
type arrival struct {
	at     time.Duration
	phase  int
	host   int
	query  string
	marked bool
}

// Run sends everything and returns a sample of each search, in the order of their intended times.
func (d *Drive) Run(ctx context.Context) []Sample {
	plan := d.plan()
	samples := make([]Sample, len(plan))
	began := time.Now()
	var searches sync.WaitGroup
	for i := range plan {
		sleepUntil(began.Add(plan[i].at))
		if ctx.Err() != nil {
			break
		}
		searches.Go(func() { samples[i] = d.one(ctx, i, began, &plan[i]) })
	}
	searches.Wait()
	return samples
}

// plan draws all arrivals, so that both sides of a run get the same.
func (d *Drive) plan() []arrival {
	rng := rand.New(rand.NewPCG(d.Seed, 1))
	var out []arrival
	var start time.Duration
	marked := d.Marked
	for i, p := range d.Phases {
		end := start + seconds(p.Seconds)
		for at := start + gap(rng, p.Rate); at < end; at += gap(rng, p.Rate) {
			for len(marked) > 0 && marked[0].At <= at {
				out = append(out, arrival{marked[0].At, i, rng.IntN(d.Hosts), marked[0].Query, true})
				marked = marked[1:]
			}
			out = append(out, arrival{at, i, rng.IntN(d.Hosts), fmt.Sprintf("query %d", rng.IntN(1<<20)), false})
		}
		start = end
	}
	return out
}

func gap(rng *rand.Rand, rate float64) time.Duration {
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

func (d *Drive) one(ctx context.Context, i int, began time.Time, a *arrival) Sample {
	query, _ := json.Marshal(a.query)
	id := yuccahinge.RequestID(fmt.Sprintf("bench-%d-%d", d.Seed, i))
	s := Sample{ID: id, Phase: a.phase, Host: a.host, At: a.at, Marked: a.marked}
	s.Lag = yuccahinge.MillisOf(time.Since(began) - a.at)
	time.Sleep(d.ClientMs.Duration())
	answer, err := d.Search(ctx, a.host, &yuccahinge.SearchRequest{
		RequestID:  id,
		Service:    d.Service,
		Query:      query,
		DeadlineMs: d.DeadlineMs,
	})
	time.Sleep(d.ClientMs.Duration())
	s.Latency = yuccahinge.MillisOf(time.Since(began) - a.at)
	s.fill(answer, err, d.Service)
	return s
}

func (s *Sample) fill(a *yuccahinge.SearchAnswer, err error, service yuccahinge.ServiceName) {
	var known *yuccahinge.Error
	if errors.As(err, &known) {
		s.Outcome, s.Code = known.Outcome, known.Code
		return
	}
	if err != nil {
		s.Outcome, s.Code = yuccahinge.Unknown, yuccahinge.CodeInternal
		return
	}
	s.Outcome = a.Outcome
	s.Asked = a.Coverage.Asked
	s.Covered = a.Coverage.Asked - len(a.Coverage.Lacking)
	s.Reasons = reasons(a.Coverage.Lacking)
	s.Version = a.IndexVersion
	s.Wrong = isWrong(a, service)
}

func reasons(lacking []yuccahinge.Lack) map[yuccahinge.Reason]int {
	if len(lacking) == 0 {
		return nil
	}
	out := map[yuccahinge.Reason]int{}
	for _, l := range lacking {
		out[l.Reason]++
	}
	return out
}

// hitsPerShard is what a stand-in searcher returns.
const hitsPerShard = 3

// isWrong reports whether the hits are not exactly those of the covered shards at the stated version.
func isWrong(a *yuccahinge.SearchAnswer, service yuccahinge.ServiceName) bool {
	prefix := fmt.Sprintf("%s-%d-", service, a.IndexVersion)
	for _, h := range a.Hits {
		if !strings.HasPrefix(string(h.ID), prefix) {
			return true
		}
	}
	return len(a.Hits) != hitsPerShard*(a.Coverage.Asked-len(a.Coverage.Lacking))
}
