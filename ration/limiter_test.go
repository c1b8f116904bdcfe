package ration

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

const searcher yuccahinge.SearcherID = "s1"

// named returns the load report of a response that names a maximum rate.
func named(rate yuccahinge.RequestRate) *yuccahinge.LoadReport {
	return &yuccahinge.LoadReport{MaxRate: &rate}
}

// recorder records the changes of a Limiter as text.
type recorder struct{ changes []string }

func (r *recorder) record(c Change) {
	switch {
	case c.Malformed != "":
		r.changes = append(r.changes, "malformed "+c.Malformed)
	case c.MaxRate != nil:
		r.changes = append(r.changes, fmt.Sprint("rate ", *c.MaxRate))
	default:
		r.changes = append(r.changes, "ended")
	}
}

// TestRateFollowsResponses covers a rate that is named, changed, left out by one response, malformed, ended and named
// again, and responses that arrive out of order.
func TestRateFollowsResponses(t *testing.T) {
	var r recorder
	l := Limiter{OnChange: r.record}
	absent := &yuccahinge.LoadReport{}
	for _, step := range []struct {
		now, sentAt yuccahinge.Millis
		report      *yuccahinge.LoadReport
		want        string
	}{
		{1000, 990, absent, ""},
		{1000, 990, named(20), "rate 20"},
		{1100, 1050, named(20), ""},
		{1200, 1150, named(5), "rate 5"},
		{1210, 1160, named(20), ""},
		{1300, 1250, named(8), "rate 8"},
		{1310, 1305, named(8.1), ""},
		{1320, 1311, named(8), ""},
		{1350, 1320, absent, ""},
		{1400, 1390, &yuccahinge.LoadReport{MalformedMaxRate: `"-1"`}, `malformed "-1"`},
		{1500, 1490, &yuccahinge.LoadReport{MalformedMaxRate: `"-1"`}, ""},
		{2400, 1290, absent, ""},
		{2500, 2400, absent, "ended"},
		{2510, 2450, named(8), ""},
		{2600, 2550, absent, ""},
		{2700, 2650, named(8), "rate 8"},
	} {
		r.changes = nil
		l.Observe(step.now, step.sentAt, searcher, step.report)
		if got := fmt.Sprint(r.changes); got != fmt.Sprint(nonEmpty(step.want)) {
			t.Errorf("at %v: changes %v, want %q", step.now, got, step.want)
		}
	}
	if l.Limited() != 1 || !l.CountCall(searcher, "first") || l.CountCall("s2", "first") {
		t.Errorf("%d limited searchers, want one", l.Limited())
	}
}

func nonEmpty(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}
