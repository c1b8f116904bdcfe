package probe

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

type fixedState struct{ state *yuccahinge.State }

func (f fixedState) State() (*yuccahinge.State, yuccahinge.Millis) { return f.state, 0 }

type countingReporter struct {
	mu    sync.Mutex
	calls map[yuccahinge.SearcherID]int
}

func (c *countingReporter) Load(_ context.Context, id yuccahinge.SearcherID, _ *yuccahinge.Searcher) (*yuccahinge.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id]++
	return &yuccahinge.LoadReport{Searcher: id}, nil
}

// TestUrgentSearchersAreProbedEveryRound runs 11 rounds with 100 searchers, more than fit into one round.
// The urgent searcher is probed in each, the others once.
func TestUrgentSearchersAreProbedEveryRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ix := yuccahinge.Index{Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
		for i := range 100 {
			ix.Searchers[yuccahinge.SearcherID(fmt.Sprint("s", i))] = &yuccahinge.Searcher{}
		}
		state := &yuccahinge.State{Services: map[yuccahinge.ServiceName]*yuccahinge.Service{"trainer": {Index: ix}}}
		reporter := &countingReporter{calls: map[yuccahinge.SearcherID]int{}}
		p := &Prober{
			States: fixedState{state}, Reporter: reporter,
			OnReport: func(yuccahinge.Millis, yuccahinge.SearcherID, *yuccahinge.LoadReport) {},
			Urgent: func(yuccahinge.ServiceName, *yuccahinge.Service) []yuccahinge.SearcherID {
				return []yuccahinge.SearcherID{"s7"}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2100*time.Millisecond)
		defer cancel()
		if err := p.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if len(reporter.calls) != 100 || reporter.calls["s1"] != 1 || reporter.calls["s7"] != 11 {
			t.Fatalf("%d searchers were probed, s1 %d times, s7 %d times", len(reporter.calls), reporter.calls["s1"], reporter.calls["s7"])
		}
	})
}
