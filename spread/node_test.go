package spread

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// chain returns the states and pushes of n tickets that set one calendar each. states[0] is nil.
func chain(t *testing.T, n int) ([]*yuccahinge.State, []Push) {
	states := []*yuccahinge.State{nil}
	var pushes []Push
	before := yuccahinge.Digest("")
	for i := range n {
		x := &yuccahinge.Ticket{
			Number:    yuccahinge.TicketNumber(i + 1),
			Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{yuccahinge.CalendarName('a' + rune(i%26)): {Holidays: []string{}}},
		}
		next, err := ticket.Apply(states[i], x)
		if err != nil {
			t.Fatal(err)
		}
		states = append(states, next)
		pushes = append(pushes, Push{Ticket: x, Before: before, After: next.Digest})
		before = next.Digest
	}
	return states, pushes
}

func newHost(pushes []Push) *Node {
	s := &Node{Self: "h1", Domain: "a"}
	s.HandleRequest(0, Request{Summary: Summary{Host: "h2"}, Update: &Update{Pushes: pushes}})
	return s
}

func TestStaleReadDoesNotConfirmState(t *testing.T) {
	_, pushes := chain(t, 2)
	s := newHost(pushes)
	s.HandleHead(1000, 2)
	s.HandleReply(9000, Request{}, Reply{Summary: Summary{Host: "h2", Read: Read{Reader: "h2", Head: 1}}})
	if age, ok := s.StateAge(9000); !ok || age != 8000 {
		t.Fatalf("after a read of an older head StateAge = %v, %v, want 8000, true", age, ok)
	}
	s.HandleReply(9000, Request{}, Reply{Summary: Summary{Host: "h2", Read: Read{Reader: "h2", Head: 2, AgeMs: 500}}})
	if age, _ := s.StateAge(9000); age != 500 {
		t.Fatalf("after a read of the number in force StateAge = %v, want 500", age)
	}
}

func TestHeadRetriedAfterGap(t *testing.T) {
	s := &Node{Self: "h1", Domain: "a"}
	s.HandleHead(0, 1)
	s.HandleTicketError(0, 1, true, "missing")
	if got := s.HandleHead(100, 1); len(got) != 0 {
		t.Fatalf("before headRetryDelay has passed HandleHead = %v, want none", got)
	}
	if got := s.HandleHead(headRetryDelay+100, 1); len(got) != 1 || got[0].Kind != ReadTicket {
		t.Fatalf("after headRetryDelay HandleHead = %v, want one ReadTicket", got)
	}
}

func TestUpdateLeadsToStateInForce(t *testing.T) {
	states, pushes := chain(t, 30)
	s := newHost(pushes[:3])
	s.HandleRequest(0, Request{Summary: Summary{Host: "h2"}, Update: &Update{State: states[28]}})
	s.HandleRequest(0, Request{Summary: Summary{Host: "h2"}, Update: &Update{Pushes: pushes[28:]}})
	for n := range 30 {
		sum := Summary{Host: "h3", Number: yuccahinge.TicketNumber(n)}
		if n > 0 {
			sum.Digest = states[n].Digest
		}
		other := &Node{Self: "h3", Domain: "a", state: states[n]}
		reply, _ := s.HandleRequest(0, Request{Summary: sum})
		other.HandleReply(0, Request{}, reply)
		if other.digest() != states[30].Digest {
			t.Fatalf("host that started at ticket %d is at ticket %d, or has another digest, after the reply", n, other.Number())
		}
	}
}

func TestFirstDigestKeptUntilHigherNumber(t *testing.T) {
	states, pushes := chain(t, 3)
	s := newHost(pushes[:2])
	other := *states[2]
	other.Calendars = map[yuccahinge.CalendarName]*yuccahinge.Calendar{"z": {Holidays: []string{}}}
	other.Digest = ticket.DigestOf(&other)
	s.HandleRequest(0, Request{Summary: Summary{Host: "h2"}, Update: &Update{State: &other}})
	if s.State().Digest != states[2].Digest || !s.HasConflict() {
		t.Fatal("second state of a number replaced the first, or the conflict was not recorded")
	}
	if got := s.HandleHead(0, 3); len(got) != 1 || got[0].Kind != ReadState {
		t.Fatalf("HandleHead on a host in conflict = %v, want one ReadState", got)
	}
	s.HandleState(0, states[3])
	if s.State() != states[3] || s.HasConflict() {
		t.Fatal("whole state of a higher number was not adopted, or the conflict remained")
	}
}
