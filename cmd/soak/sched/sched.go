// Package sched provides the simulated clock: events run one after the other in the order of their time.
package sched

import (
	"container/heap"

	"github.com/yuccahinge/yuccahinge"
)

// Owner is what an event happens to.
type Owner interface {
	// Runs returns the instant from which the owner runs, which is later than now while it is paused,
	// and whether it lives at all.
	Runs(now yuccahinge.Millis) (from yuccahinge.Millis, alive bool)
}

// Queue holds the events to come. The zero value is empty, at instant zero.
type Queue struct {
	now    yuccahinge.Millis
	serial uint64
	events events
}

// Now returns the instant of the event that ran last.
func (q *Queue) Now() yuccahinge.Millis { return q.now }

// At schedules an event. It is dropped if its owner does not live by then, and put off while the owner is
// paused. An event without an owner always runs.
func (q *Queue) At(at yuccahinge.Millis, owner Owner, run func()) {
	q.serial++
	heap.Push(&q.events, event{at: max(at, q.now), serial: q.serial, owner: owner, run: run})
}

// Next takes the next event that runs and moves the clock to its instant. It returns its owner.
func (q *Queue) Next() (owner Owner, run func(), ok bool) {
	for len(q.events) > 0 {
		e := heap.Pop(&q.events).(event)
		q.now = max(q.now, e.at)
		if e.owner == nil {
			return nil, e.run, true
		}
		from, alive := e.owner.Runs(q.now)
		if !alive {
			continue
		}
		if from > q.now {
			q.At(from, e.owner, e.run)
			continue
		}
		return e.owner, e.run, true
	}
	return nil, nil, false
}
