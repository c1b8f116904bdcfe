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

// addToRing appends a ticket to the ring and drops the oldest ones that exceed its limits.
func (s *Node) addToRing(p Push) {
	s.ring = append(s.ring, entry{push: p, size: jsonSize(p.Ticket)})
	total := 0
	for _, e := range s.ring {
		total += e.size
	}
	for len(s.ring) > 1 && (len(s.ring) > ringEntries || total > ringBytes) {
		total -= s.ring[0].size
		s.ring = s.ring[1:]
	}
}

// parcelFor returns what a host with this summary lacks, or nil. It holds recent tickets if they follow from
// that host's state and are smaller than the whole state, else the whole state.
func (s *Node) parcelFor(sum Summary) *Update {
	if s.state == nil || sum.Number >= s.Number() {
		return nil
	}
	if pushes, size := s.pushesAfter(sum.Number, sum.Digest); pushes != nil && size < s.stateSize() {
		return &Update{Pushes: pushes}
	}
	return &Update{State: s.state}
}

// pushesAfter returns the tickets that lead from the state with the number and digest to the one in force, and their
// size in bytes. It returns nil if the ring doesn't hold them all.
func (s *Node) pushesAfter(n yuccahinge.TicketNumber, d yuccahinge.Digest) ([]Push, int) {
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

func (s *Node) stateSize() int {
	if s.size == 0 {
		s.size = jsonSize(s.state)
	}
	return s.size
}

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}
