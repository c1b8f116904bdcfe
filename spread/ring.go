package spread

import (
	"encoding/json"

	"github.com/yuccahinge/yuccahinge"
)

// entry is a recent ticket with the size of its JSON form in bytes.
type entry struct {
	push Push
	size int
}

// remember adds a ticket to the ring and drops the oldest beyond its bounds.
func (s *Spread) remember(p Push) {
	s.ring = append(s.ring, entry{push: p, size: sizeOf(p.Ticket)})
	total := 0
	for _, e := range s.ring {
		total += e.size
	}
	for len(s.ring) > 1 && (len(s.ring) > ringEntries || total > ringBytes) {
		total -= s.ring[0].size
		s.ring = s.ring[1:]
	}
}

// parcelFor returns what a host with this summary lacks, or nil. Recent tickets go when they follow from
// the other's state and weigh less than the whole state.
func (s *Spread) parcelFor(sum Summary) *Parcel {
	if s.state == nil || sum.Number >= s.Number() {
		return nil
	}
	if pushes, size := s.after(sum.Number, sum.Digest); pushes != nil && size < s.stateSize() {
		return &Parcel{Pushes: pushes}
	}
	return &Parcel{State: s.state}
}

// after returns the tickets that lead from the state with the number and digest to the one in force.
func (s *Spread) after(n yuccahinge.TicketNumber, d yuccahinge.Digest) ([]Push, int) {
	var pushes []Push
	size := 0
	for _, e := range s.ring {
		if e.push.Ticket.Number <= n {
			continue
		}
		if pushes == nil && (e.push.Ticket.Number != n+1 || e.push.Before != d) {
			return nil, 0
		}
		pushes = append(pushes, e.push)
		size += e.size
	}
	return pushes, size
}

func (s *Spread) stateSize() int {
	if s.size == 0 {
		s.size = sizeOf(s.state)
	}
	return s.size
}

func sizeOf(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}
