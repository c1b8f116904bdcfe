package multi

import (
	"context"
	"errors"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

type fakeReplica struct {
	yuccahinge.ConfigSource
	head  yuccahinge.TicketNumber
	err   error
	calls int
}

func (r *fakeReplica) Head(context.Context, yuccahinge.TicketNumber, yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	r.calls++
	return r.head, r.err
}

func TestFailoverSticksToTheReplicaThatAnswered(t *testing.T) {
	down := &fakeReplica{err: errors.New("down")}
	up := &fakeReplica{head: 7}
	s := &Source{Replicas: []yuccahinge.ConfigSource{down, up}}
	for range 3 {
		head, err := s.Head(t.Context(), 0, 0)
		if err != nil || head != 7 {
			t.Fatalf("got head %d and error %v, want 7", head, err)
		}
	}
	if down.calls != 1 || up.calls != 3 {
		t.Fatalf("called the failed replica %d times and the other %d times, want 1 and 3", down.calls, up.calls)
	}
}

func TestAllDownReturnsEveryError(t *testing.T) {
	a, b := errors.New("a"), errors.New("b")
	s := &Source{Replicas: []yuccahinge.ConfigSource{&fakeReplica{err: a}, &fakeReplica{err: b}}}
	if _, err := s.Head(t.Context(), 0, 0); !errors.Is(err, a) || !errors.Is(err, b) {
		t.Fatalf("got %v, want both errors", err)
	}
}
