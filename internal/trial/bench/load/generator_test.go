package load

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

func newGenerator() *Generator {
	return &Generator{
		Service: "recipes",
		Hosts:   3,
		Seed:    7,
		Phases:  []Phase{{Name: "one", Seconds: 2, Rate: 50}, {Name: "two", Seconds: 1, Rate: 200}},
		Marked:  []MarkedSearch{{At: time.Second, Query: "marked"}},
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	first, second := newGenerator().plan(), newGenerator().plan()
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two plans with the same seed differ")
	}
	other := newGenerator()
	other.Seed = 8
	if reflect.DeepEqual(first, other.plan()) {
		t.Fatal("plans with different seeds are equal")
	}
}

func TestPlanFollowsRatesAndIncludesMarked(t *testing.T) {
	count := map[int]int{}
	marked := 0
	var last time.Duration
	for _, a := range newGenerator().plan() {
		if a.at < last {
			t.Fatalf("arrival at %v after %v", a.at, last)
		}
		last = a.at
		count[a.phase]++
		if a.marked {
			marked++
		}
	}
	if marked != 1 {
		t.Fatalf("plan has %d marked searches, want 1", marked)
	}
	for phase, want := range []int{100, 200} {
		if got := count[phase]; got < want*7/10 || got > want*13/10 {
			t.Fatalf("phase %d has %d arrivals, want about %d", phase, got, want)
		}
	}
}

// Latency is measured from the intended start. If it were measured from the actual start, the wait of searches that the
// generator starts late would be missing.
func TestLatencyIsMeasuredFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGenerator()
		g.ClientDelayMs = 1
		g.Search = func(context.Context, int, *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
			time.Sleep(10 * time.Millisecond)
			return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Outcome: yuccahinge.NotRun}
		}
		for _, s := range g.Run(t.Context()) {
			if s.Latency != s.Lag+12 {
				t.Fatalf("latency %v with lag %v, want 12 ms more", s.Latency, s.Lag)
			}
			if s.Outcome != yuccahinge.NotRun || s.IsAnswered() {
				t.Fatalf("unexpected sample %+v", s)
			}
		}
	})
}

func TestIsWrongDetectsMixedVersionsAndMissingHits(t *testing.T) {
	hits := func(ids ...yuccahinge.DocumentID) []yuccahinge.Hit {
		var out []yuccahinge.Hit
		for _, id := range ids {
			out = append(out, yuccahinge.Hit{ID: id})
		}
		return out
	}
	tests := []struct {
		name  string
		hits  []yuccahinge.Hit
		wrong bool
	}{
		{"all hits of one version", hits("recipes-2-0-0", "recipes-2-0-1", "recipes-2-0-2"), false},
		{"other version", hits("recipes-2-0-0", "recipes-1-0-1", "recipes-2-0-2"), true},
		{"missing hits", hits("recipes-2-0-0"), true},
	}
	for _, tt := range tests {
		a := &yuccahinge.SearchAnswer{IndexVersion: 2, Hits: tt.hits}
		a.Coverage = yuccahinge.Coverage{Total: 2, Lacking: []yuccahinge.LackingShard{{Shard: 1}}}
		if got := isWrong(a, "recipes"); got != tt.wrong {
			t.Errorf("%s: isWrong returned %v", tt.name, got)
		}
	}
}

func TestSetResultMapsOtherErrorsToUnknown(t *testing.T) {
	var s Sample
	s.setResult(nil, errors.New("odd"), "recipes")
	if s.Outcome != yuccahinge.Unknown || s.Code != yuccahinge.CodeInternal {
		t.Fatalf("unexpected sample %+v", s)
	}
}
