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

type fixed struct{ state *yuccahinge.State }

func (f fixed) State() (*yuccahinge.State, yuccahinge.Millis) { return f.state, 0 }

type counter struct {
	mu    sync.Mutex
	calls map[yuccahinge.SearcherID]int
}

func (c *counter) Load(_ context.Context, id yuccahinge.SearcherID, _ *yuccahinge.Searcher) (*yuccahinge.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id]++
	return &yuccahinge.LoadReport{Searcher: id}, nil
}

func TestAsksAllOnceAndTheUrgentOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ix := yuccahinge.Index{Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
		for i := range 100 {
			ix.Searchers[yuccahinge.SearcherID(fmt.Sprint("s", i))] = &yuccahinge.Searcher{}
		}
		state := &yuccahinge.State{Services: map[yuccahinge.ServiceName]*yuccahinge.Service{"trainer": {Index: ix}}}
		loads := &counter{calls: map[yuccahinge.SearcherID]int{}}
		p := &Probe{
			States: fixed{state}, Loader: loads,
			Heard: func(yuccahinge.Millis, yuccahinge.SearcherID, *yuccahinge.LoadReport) {},
			Urgent: func(yuccahinge.ServiceName, *yuccahinge.Service) []yuccahinge.SearcherID {
				return []yuccahinge.SearcherID{"s7"}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2100*time.Millisecond)
		defer cancel()
		if err := p.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if len(loads.calls) != 100 || loads.calls["s1"] != 1 || loads.calls["s7"] != 11 {
			t.Fatalf("%d searchers asked, s1 %d times, s7 %d times", len(loads.calls), loads.calls["s1"], loads.calls["s7"])
		}
	})
}
