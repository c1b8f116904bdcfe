package world

import (
	"fmt"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// Invariant names what must always hold.
type Invariant string

// The invariants.
const (
	// Snapshot: all of an answer comes from one ticket, one calendar and one index version.
	Snapshot Invariant = "snapshot"
	// Coverage: covered and lacking shards are the pinned shard map, and a covered shard ran.
	Coverage Invariant = "coverage"
	// OwnReply: every covered shard's reply is of this request.
	OwnReply Invariant = "ownReply"
	// NotRunTrue: what is said not to have run did not run and never will.
	NotRunTrue Invariant = "notRun"
	// AtMostOnce: a claim runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// Forward: the ticket number of a host never falls, and the state of a number never changes on it.
	Forward Invariant = "forward"
	// MinTicket: no answer is older than the caller accepts.
	MinTicket Invariant = "minTicket"
	// AfterPause: a host that was paused compares with its peers before the next query.
	AfterPause Invariant = "afterPause"
	// LeavingKnown: a host that knows that a searcher leaves sends it nothing new.
	LeavingKnown Invariant = "leavingKnown"
	// LeavingHeard: what a connected host has known for 5 s of a leaving searcher, this one heeds.
	LeavingHeard Invariant = "leavingHeard"
	// DrainWhole: a graceful shutdown cuts off nothing in flight.
	DrainWhole Invariant = "drainWhole"
	// InForce: a ticket readable or in force at a connected host for 8 s is in force.
	InForce Invariant = "inForce"
	// Parts: no decision part reports a broken invariant of its own.
	Parts Invariant = "parts"
)

// Violation is a broken invariant and what led to it.
type Violation struct {
	Invariant Invariant
	Seed      uint64
	Step      int
	At        yuccahinge.Millis
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

// fail records the first violation. Keys choose the events that are shown.
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
		Events:    w.trace.about(keys),
	}
}
