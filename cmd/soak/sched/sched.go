// Package sched provides a discrete-event scheduler with a simulated clock.
package sched

import (
	"container/heap"

	"github.com/yuccahinge/yuccahinge"
)

// Owner is a simulated process whose events wait while it is paused and are dropped once it has ended.
type Owner interface {
	// RunnableFrom returns the instant from which the owner can run, which is later than now while it is paused,
	// and whether it is alive.
	RunnableFrom(now yuccahinge.Millis) (from yuccahinge.Millis, alive bool)
}

// Queue holds the pending events and the clock. The zero value is an empty queue at instant zero.
type Queue struct {
	now    yuccahinge.Millis
	serial uint64
	events events
}

// Now returns the current simulated time: the instant of the last event that Next returned.
func (q *Queue) Now() yuccahinge.Millis { return q.now }

// At schedules run at an instant, or now if that has passed. The event is dropped if its owner is not alive then, and
// delayed while the owner is paused. An event with a nil owner always runs.
func (q *Queue) At(at yuccahinge.Millis, owner Owner, run func()) {
	q.serial++
	heap.Push(&q.events, event{at: max(at, q.now), serial: q.serial, owner: owner, run: run})
}

// Next removes the next event that can run and advances the clock to its instant. The caller calls run.
func (q *Queue) Next() (owner Owner, run func(), ok bool) {
	for len(q.events) > 0 {
		e := heap.Pop(&q.events).(event)
		q.now = max(q.now, e.at)
		if e.owner == nil {
			return nil, e.run, true
		}
		from, alive := e.owner.RunnableFrom(q.now)
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
