package sched

import (
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// fakeOwner is an owner that is paused until an instant, or has ended.
type fakeOwner struct {
	from  yuccahinge.Millis
	ended bool
}

func (f *fakeOwner) RunnableFrom(yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return f.from, !f.ended
}

func TestEventOrderWithPausedAndEndedOwners(t *testing.T) {
	var q Queue
	var got []string
	add := func(at yuccahinge.Millis, owner Owner, name string) {
		q.At(at, owner, func() { got = append(got, name) })
	}
	add(2, nil, "second")
	add(1, nil, "first")
	add(1, &fakeOwner{from: 5}, "woken")
	add(1, &fakeOwner{from: 5}, "woken after")
	add(1, &fakeOwner{ended: true}, "dead")
	add(5, nil, "last")
	for {
		_, run, ok := q.Next()
		if !ok {
			break
		}
		run()
	}
	want := []string{"first", "second", "last", "woken", "woken after"}
	if !slices.Equal(got, want) || q.Now() != 5 {
		t.Fatalf("got %q at %v, want %q at 5", got, q.Now(), want)
	}
}
