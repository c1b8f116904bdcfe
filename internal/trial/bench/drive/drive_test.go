package drive

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

func newDrive() *Drive {
	return &Drive{
		Service: "recipes",
		Hosts:   3,
		Seed:    7,
		Phases:  []Phase{{Name: "one", Seconds: 2, Rate: 50}, {Name: "two", Seconds: 1, Rate: 200}},
		Marked:  []Marked{{At: time.Second, Query: "marked"}},
	}
}

func TestPlanIsTheSameForASeed(t *testing.T) {
	first, second := newDrive().plan(), newDrive().plan()
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two plans of one seed differ")
	}
	other := newDrive()
	other.Seed = 8
	if reflect.DeepEqual(first, other.plan()) {
		t.Fatal("plans of two seeds are alike")
	}
}

func TestPlanKeepsRatesAndMarked(t *testing.T) {
	count := map[int]int{}
	marked := 0
	var last time.Duration
	for _, a := range newDrive().plan() {
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
		t.Fatalf("%d marked searches", marked)
	}
	for phase, want := range []int{100, 200} {
		if got := count[phase]; got < want*7/10 || got > want*13/10 {
			t.Fatalf("phase %d has %d arrivals, want about %d", phase, got, want)
		}
	}
}

// A search that is slow to begin must not hide its wait: latency counts from the intended start.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrive()
		d.ClientMs = 1
		d.Search = func(context.Context, int, *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
			time.Sleep(10 * time.Millisecond)
			return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Outcome: yuccahinge.NotRun}
		}
		for _, s := range d.Run(t.Context()) {
			if s.Latency != s.Lag+12 {
				t.Fatalf("latency %v with lag %v, want 12 ms more", s.Latency, s.Lag)
			}
			if s.Outcome != yuccahinge.NotRun || s.IsAnswered() {
				t.Fatalf("sample %+v", s)
			}
		}
	})
}

func TestIsWrongFindsMixedAnswers(t *testing.T) {
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
		{"right", hits("recipes-2-0-0", "recipes-2-0-1", "recipes-2-0-2"), false},
		{"other version", hits("recipes-2-0-0", "recipes-1-0-1", "recipes-2-0-2"), true},
		{"hit lost", hits("recipes-2-0-0"), true},
	}
	for _, tt := range tests {
		a := &yuccahinge.SearchAnswer{IndexVersion: 2, Hits: tt.hits}
		a.Coverage = yuccahinge.Coverage{Asked: 2, Lacking: []yuccahinge.Lack{{Shard: 1}}}
		if got := isWrong(a, "recipes"); got != tt.wrong {
			t.Errorf("%s: wrong is %v", tt.name, got)
		}
	}
}

func TestFillTakesUnknownErrors(t *testing.T) {
	var s Sample
	s.fill(nil, errors.New("odd"), "recipes")
	if s.Outcome != yuccahinge.Unknown || s.Code != yuccahinge.CodeInternal {
		t.Fatalf("sample %+v", s)
	}
}
