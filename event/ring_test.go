package event

import (
	"sync"
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
		t.Fatalf("got %d events from number %d and next %d, want 3 events from number 2 and next 5", len(got), got[0].Seq, next)
	}
	for i, e := range got[1:] {
		if !got[i].Stamp.Before(e.Stamp) {
			t.Errorf("stamp %v is not before %v", got[i].Stamp, e.Stamp)
		}
	}
	if got, _ := r.Since(5); len(got) != 0 {
		t.Fatalf("got %d events after the newest one, want none", len(got))
	}
}

// Guards against a reader that skips an event whose writer has taken a sequence number and not stored the event yet.
func TestConcurrentReaderGetsEveryEventOnce(t *testing.T) {
	const writers, perWriter = 4, 2000
	r := &Ring{Host: "e1", Clock: clock.Clock{}, Stamps: &hybrid.Clock{}, Capacity: 2 * writers * perWriter}
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range perWriter {
				r.Record(yuccahinge.Event{Code: ProcessReady})
			}
		})
	}
	var got []yuccahinge.Event
	var next uint64
	for len(got) < writers*perWriter {
		var page []yuccahinge.Event
		page, next = r.Since(next)
		got = append(got, page...)
	}
	wg.Wait()
	for i, e := range got {
		if e.Seq != uint64(i) {
			t.Fatalf("event %d has sequence number %d", i, e.Seq)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	r := &Ring{Host: "e1", Clock: clock.Clock{}, Stamps: &hybrid.Clock{}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(yuccahinge.Event{Code: AttemptEnded, Request: "q", Searcher: "s1"})
		}
	})
}
