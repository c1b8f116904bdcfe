package world

import (
	"fmt"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// Invariant names a property that every run must keep.
type Invariant string

// The invariants.
const (
	// Snapshot: the parts of an answer come from one ticket, one calendar and one index version.
	Snapshot Invariant = "snapshot"
	// Coverage: covered and lacking shards together are the pinned shard map, and every covered shard ran.
	Coverage Invariant = "coverage"
	// OwnReply: every reply merged into an answer belongs to the request.
	OwnReply Invariant = "ownReply"
	// TrueOutcome: a request or claim reported as not run has not run and never runs later, and a claim reported as run ran.
	TrueOutcome Invariant = "notRun"
	// AtMostOnce: a claim runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// MonotonicTicket: the ticket number of a host never decreases, and the state of a ticket never changes on a host.
	MonotonicTicket Invariant = "forward"
	// MinTicket: no answer comes from a ticket below the minimum of its request.
	MinTicket Invariant = "minTicket"
	// AfterPause: a host that was paused compares its state with its peers before it pins the state of a query.
	AfterPause Invariant = "afterPause"
	// AvoidLeaving: a host that knows that a searcher is draining sends it no new attempts.
	AvoidLeaving Invariant = "leavingKnown"
	// LeavingPropagated: within 5 s, hosts connected to one that knows of a draining searcher know of it and send it nothing.
	LeavingPropagated Invariant = "leavingHeard"
	// DrainWhole: a graceful shutdown within its deadline cuts off no request in flight.
	DrainWhole Invariant = "drainWhole"
	// TicketPropagated: a ticket that a connected host has had readable or in force for 8 s is in force.
	TicketPropagated Invariant = "inForce"
	// MaxRate: the hosts together keep to the maximum rate that a searcher names.
	MaxRate Invariant = "maxRate"
	// NoPartFailure: no decision package reports a broken invariant of its own.
	NoPartFailure Invariant = "parts"
)

// Violation is a broken invariant with the events that led to it.
type Violation struct {
	Invariant Invariant
	Seed      uint64
	Step      int
	At        yuccahinge.Millis // since the start of the run
	Detail    string
	Events    []string
}

// String returns the violation with its events, one a line.
func (v *Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "invariant %s broken at step %d of seed %d, %.3f ms after the start: %s\n", v.Invariant, v.Step, v.Seed, float64(v.At), v.Detail)
	for _, e := range v.Events {
		fmt.Fprintln(&b, "  "+e)
	}
	return b.String()
}

// fail records a violation, unless there is one already. The keys select the events in its report.
func (w *World) fail(i Invariant, keys []string, format string, args ...any) {
	if w.violation != nil {
		return
	}
	detail := fmt.Sprintf(format, args...)
	w.note("world", "", "VIOLATION %s: %s", i, detail)
	w.violation = &Violation{
		Invariant: i,
		Seed:      w.Seed,
		Step:      w.steps,
		At:        w.now() - epoch,
		Detail:    detail,
		Events:    w.trace.eventsFor(keys),
	}
}
