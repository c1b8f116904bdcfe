package chaos

import (
	"sync"
	"time"
)

// disruptions holds the times at which a process or its links were disrupted. The zero value is empty and ready to use.
type disruptions struct {
	mu   sync.Mutex
	list []span
}

// span is the time from one instant to another. It has no end if to is zero.
type span struct {
	from, to time.Time
}

// add records a disruption that begins now and lasts for a time.
func (d *disruptions) add(length time.Duration) {
	now := time.Now()
	d.append(span{from: now, to: now.Add(length)})
}

// addForever records a disruption that begins now and does not end.
func (d *disruptions) addForever() { d.append(span{from: time.Now()}) }

func (d *disruptions) append(s span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, s)
}

// overlap reports whether a disruption overlaps with the time between two instants.
func (d *disruptions) overlap(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.list {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}
