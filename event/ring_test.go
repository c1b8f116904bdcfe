package event

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/hybrid"
)

func TestRingDropsTheOldest(t *testing.T) {
	r := &Ring{Host: "e1", Clock: clock.Clock{}, Stamps: &hybrid.Clock{}, Capacity: 3}
	for range 5 {
		r.Record(yuccahinge.Event{Code: ProcessReady})
	}
	got, next := r.Since(0)
	if len(got) != 3 || got[0].Seq != 2 || next != 5 {
		t.Fatalf("got %d events from %d and next %d, want 3 from 2 and 5", len(got), got[0].Seq, next)
	}
	for i, e := range got[1:] {
		if !got[i].Stamp.Before(e.Stamp) {
			t.Errorf("stamp %v is not before %v", got[i].Stamp, e.Stamp)
		}
	}
	if got, _ := r.Since(5); len(got) != 0 {
		t.Fatalf("got %d events after the end", len(got))
	}
}
