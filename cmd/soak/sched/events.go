package sched

import "github.com/yuccahinge/yuccahinge"

// event is something that happens to its owner at an instant. The serial number orders equal instants.
type event struct {
	at     yuccahinge.Millis
	serial uint64
	owner  Owner
	run    func()
}

// events is a heap with the earliest event on top.
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
