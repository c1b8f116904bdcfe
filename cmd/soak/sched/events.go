package sched

import "github.com/yuccahinge/yuccahinge"

// event is a function to run at an instant. Events of the same instant run in the order of their serial numbers.
type event struct {
	at     yuccahinge.Millis
	serial uint64
	owner  Owner
	run    func()
}

// events is a min-heap of events by time and serial number.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
