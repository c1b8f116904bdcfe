package chrono

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestMergeIsCausalAndFiltered(t *testing.T) {
	at := func(host yuccahinge.HostID, wall int64, count uint32, req yuccahinge.RequestID) yuccahinge.Event {
		return yuccahinge.Event{Host: host, Stamp: yuccahinge.Stamp{Wall: wall, Count: count}, Request: req}
	}
	a := []yuccahinge.Event{at("a", 1, 0, "q"), at("a", 5, 2, "q")}
	b := []yuccahinge.Event{at("b", 5, 1, "q"), at("b", 6, 0, "other")}
	got := Filter{Request: "q"}.Merge(b, a)
	want := []yuccahinge.HostID{"a", "b", "a"}
	if len(got) != len(want) {
		t.Fatalf("got %d events, want %d", len(got), len(want))
	}
	for i, e := range got {
		if e.Host != want[i] {
			t.Errorf("event %d is of host %s, want %s", i, e.Host, want[i])
		}
	}
}
