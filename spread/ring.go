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
func (node *Node) addToRing(p Push) {
	node.ring = append(node.ring, entry{push: p, size: jsonSize(p.Ticket)})
	total := 0
	for _, e := range node.ring {
		total += e.size
	}
	for len(node.ring) > 1 && (len(node.ring) > ringEntries || total > ringBytes) {
		total -= node.ring[0].size
		node.ring = node.ring[1:]
	}
}

// updateFor returns the update that a host with this summary lacks, or nil. The update holds recent tickets if they
// follow from that host's state and are smaller than the whole state, else the whole state.
func (node *Node) updateFor(sum Summary) *Update {
	if node.state == nil || max(sum.Number, sum.Pending) >= node.Number() {
		return nil
	}
	if pushes, size := node.pushesAfter(sum.Number, sum.Digest); pushes != nil && size < node.stateSize() {
		return &Update{Pushes: pushes}
	}
	return &Update{State: node.state}
}

// pushesAfter returns the tickets that lead from the state with the number and digest to the one in force, and their
// size in bytes. It returns nil if the ring doesn't hold them all.
func (node *Node) pushesAfter(n yuccahinge.TicketNumber, d yuccahinge.Digest) ([]Push, int) {
	var pushes []Push
	size := 0
	for _, e := range node.ring {
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

func (node *Node) stateSize() int {
	if node.size == 0 {
		node.size = jsonSize(node.state)
	}
	return node.size
}

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}
