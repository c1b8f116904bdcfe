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

func TestReaderBesideWritersSeesEveryEventOnce(t *testing.T) {
	const writers, each = 4, 2000
	r := &Ring{Host: "e1", Clock: clock.Clock{}, Stamps: &hybrid.Clock{}, Capacity: 2 * writers * each}
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range each {
				r.Record(yuccahinge.Event{Code: ProcessReady})
			}
		})
	}
	var got []yuccahinge.Event
	var next uint64
	for len(got) < writers*each {
		var page []yuccahinge.Event
		page, next = r.Since(next)
		got = append(got, page...)
	}
	wg.Wait()
	for i, e := range got {
		if e.Seq != uint64(i) {
			t.Fatalf("event %d has the number %d", i, e.Seq)
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
