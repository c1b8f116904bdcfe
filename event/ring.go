// Package event provides the host's part of the time line: numbered events in a bounded ring.
package event

import (
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/hybrid"
)

// DefaultCapacity is the number of events that a Ring keeps when Capacity is zero.
const DefaultCapacity = 16384

// Ring keeps the newest events of one host. Set Host, Clock and Stamps before the first use. Record takes
// no lock, since every request records events.
type Ring struct {
	Host     yuccahinge.HostID
	Clock    yuccahinge.Clock
	Stamps   *hybrid.Clock
	Capacity int
	// Sink, when not nil, sees every event after it was recorded.
	Sink func(yuccahinge.Event)

	once  sync.Once
	slots []atomic.Pointer[yuccahinge.Event]
	next  atomic.Uint64
}

// Record adds an event and fills its Stamp, Seq, Name and Host.
func (r *Ring) Record(e yuccahinge.Event) {
	r.once.Do(r.open)
	e.Stamp = r.Stamps.Next(r.Clock.Now())
	e.Host = r.Host
	e.Name = Name(e.Code)
	e.Seq = r.next.Add(1) - 1
	r.slots[e.Seq%uint64(len(r.slots))].Store(&e)
	if r.Sink != nil {
		r.Sink(e)
	}
}

func (r *Ring) open() {
	size := r.Capacity
	if size <= 0 {
		size = DefaultCapacity
	}
	r.slots = make([]atomic.Pointer[yuccahinge.Event], size)
}

// Since returns the kept events with a sequence number of at least seq, oldest first, and the sequence
// number to ask for next. The first event returned is later than seq when the ring has dropped some.
func (r *Ring) Since(seq uint64) ([]yuccahinge.Event, uint64) {
	r.once.Do(r.open)
	end := r.next.Load()
	size := uint64(len(r.slots))
	if end > size {
		seq = max(seq, end-size)
	}
	var out []yuccahinge.Event
	for ; seq < end; seq++ {
		e := r.slots[seq%size].Load()
		if e == nil || e.Seq < seq {
			// Its writer has taken the number and not stored the event yet.
			break
		}
		if e.Seq == seq {
			out = append(out, *e)
		}
	}
	return out, seq
}
