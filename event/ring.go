// Package event provides the host's part of the time line: numbered events in a bounded ring.
package event

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/hybrid"
)

// DefaultCapacity is the number of events that a Ring keeps when Capacity is zero.
const DefaultCapacity = 16384

// Ring keeps the newest events of one host. Set Host, Clock and Stamps before the first use.
type Ring struct {
	Host     yuccahinge.HostID
	Clock    yuccahinge.Clock
	Stamps   *hybrid.Clock
	Capacity int
	// Sink, when not nil, sees every event after it was recorded.
	Sink func(yuccahinge.Event)

	mu   sync.Mutex
	buf  []yuccahinge.Event
	next uint64
}

// Record adds an event and fills its Stamp, Seq, Name and Host.
func (r *Ring) Record(e yuccahinge.Event) {
	r.mu.Lock()
	e.Stamp = r.Stamps.Next(r.Clock.Now())
	e.Host = r.Host
	e.Name = Name(e.Code)
	e.Seq = r.next
	r.put(e)
	r.mu.Unlock()
	if r.Sink != nil {
		r.Sink(e)
	}
}

func (r *Ring) put(e yuccahinge.Event) {
	size := r.size()
	if len(r.buf) < size {
		r.buf = append(r.buf, e)
	} else {
		r.buf[r.next%uint64(size)] = e
	}
	r.next++
}

func (r *Ring) size() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return DefaultCapacity
}

// Since returns the kept events with a sequence number of at least seq, oldest first, and the sequence
// number to ask for next. The first event returned is later than seq when the ring has dropped some.
func (r *Ring) Since(seq uint64) ([]yuccahinge.Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.next - uint64(len(r.buf))
	seq = max(seq, first)
	var out []yuccahinge.Event
	for ; seq < r.next; seq++ {
		out = append(out, r.buf[seq%uint64(r.size())])
	}
	return out, r.next
}
