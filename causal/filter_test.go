package causal

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestMergeOrdersCausallyAndFilters(t *testing.T) {
	newEvent := func(host yuccahinge.HostID, wall int64, count uint32, req yuccahinge.RequestID) yuccahinge.Event {
		return yuccahinge.Event{Host: host, Stamp: yuccahinge.Timestamp{Wall: wall, Count: count}, Request: req}
	}
	a := []yuccahinge.Event{newEvent("a", 1, 0, "q"), newEvent("a", 5, 2, "q")}
	b := []yuccahinge.Event{newEvent("b", 5, 1, "q"), newEvent("b", 6, 0, "other")}
	got := Filter{Request: "q"}.Merge(b, a)
	want := []yuccahinge.HostID{"a", "b", "a"}
	if len(got) != len(want) {
		t.Fatalf("got %d events, want %d", len(got), len(want))
	}
	for i, e := range got {
		if e.Host != want[i] {
			t.Errorf("event %d is from host %s, want %s", i, e.Host, want[i])
		}
	}
}
