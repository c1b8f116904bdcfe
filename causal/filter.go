// Package causal merges the events of several hosts into one timeline in causal order.
package causal

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Filter selects events by their fields. The zero value selects all events.
type Filter struct {
	Request yuccahinge.RequestID
	Ticket  yuccahinge.TicketNumber
	Host    yuccahinge.HostID
	Claim   yuccahinge.ClaimID
}

// Match reports whether an event matches every field of the filter that is set.
func (f Filter) Match(e yuccahinge.Event) bool {
	if f.Request != "" && e.Request != f.Request {
		return false
	}
	if f.Ticket != 0 && e.Ticket != f.Ticket {
		return false
	}
	if f.Host != "" && e.Host != f.Host {
		return false
	}
	return f.Claim == "" || e.Claim == f.Claim
}

// Merge returns the matching events of all rings in causal order. Events with equal stamps are concurrent;
// they are ordered by host and sequence number to make the result deterministic.
func (f Filter) Merge(rings ...[]yuccahinge.Event) []yuccahinge.Event {
	var out []yuccahinge.Event
	for _, ring := range rings {
		for _, e := range ring {
			if f.Match(e) {
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b yuccahinge.Event) int {
	switch {
	case a.Stamp.Before(b.Stamp):
		return -1
	case b.Stamp.Before(a.Stamp):
		return 1
	case a.Host != b.Host && a.Host < b.Host:
		return -1
	case a.Host != b.Host:
		return 1
	case a.Seq < b.Seq:
		return -1
	case a.Seq > b.Seq:
		return 1
	}
	return 0
}
