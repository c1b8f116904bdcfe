// Package event defines the event codes and records a host's events in a ring buffer.
package event

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/hybrid"
)

// DefaultCapacity is the number of events that a Ring keeps if its Capacity is zero.
const DefaultCapacity = 16384

// Ring is a ring buffer of the newest events of one host. Set Host, Clock and Stamps before the first use.
// Record takes no lock, because every request records events.
type Ring struct {
	Host     yuccahinge.HostID
	Clock    yuccahinge.Clock
	Stamps   *hybrid.Clock
	Capacity int
	// Sink, if not nil, is called with each event after it was recorded.
	Sink func(yuccahinge.Event)

	once    sync.Once
	slots   []atomic.Pointer[yuccahinge.Event]
	nextSeq atomic.Uint64
}

// Record adds an event. It sets the event's Stamp, Seq, Name and Host.
func (r *Ring) Record(e yuccahinge.Event) {
	r.once.Do(r.allocate)
	e.Stamp = r.Stamps.Next(r.Clock.Now())
	e.Host = r.Host
	e.Name = Name(e.Code)
	e.Seq = r.nextSeq.Add(1) - 1
	r.slots[e.Seq%uint64(len(r.slots))].Store(&e)
	if r.Sink != nil {
		r.Sink(e)
	}
}

func (r *Ring) allocate() {
	size := r.Capacity
	if size <= 0 {
		size = DefaultCapacity
	}
	r.slots = make([]atomic.Pointer[yuccahinge.Event], size)
}

// Since returns the events in the ring from sequence number seq on, oldest first, and the sequence number to
// pass to the next call. The first event is later than seq if the ring has already overwritten earlier ones.
func (r *Ring) Since(seq uint64) ([]yuccahinge.Event, uint64) {
	r.once.Do(r.allocate)
	end := r.nextSeq.Load()
	size := uint64(len(r.slots))
	if end > size {
		seq = max(seq, end-size)
	}
	var out []yuccahinge.Event
	for ; seq < end; seq++ {
		e := r.slots[seq%size].Load()
		if e == nil || e.Seq < seq {
			// The writer has taken this sequence number and not stored its event yet.
			break
		}
		if e.Seq == seq {
			out = append(out, *e)
		}
	}
	return out, seq
}
