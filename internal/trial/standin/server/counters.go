package server

import (
	"maps"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Counters holds the counts since the first start of a searcher or the last reset.
type Counters struct {
	// Received counts requests that were read and decoded.
	Received int `json:"received"`
	// Runs counts requests that got a slot.
	Runs int `json:"runs"`
	// Finished counts runs that were neither canceled nor ended by a crash.
	Finished    int                        `json:"finished"`
	RunsByKey   map[string]int             `json:"runsByKey"`
	RunsByClaim map[yuccahinge.ClaimID]int `json:"runsByClaim"`
	// OpenConnections is the number of open connections.
	OpenConnections int `json:"connectionsNow"`
	// MaxConnections is the maximum number of open connections.
	MaxConnections int `json:"connectionsMost"`
	// AcceptedConnections counts the connections that were accepted.
	AcceptedConnections int `json:"connects"`
	// RefusedConnections counts connections reset because of the limit.
	RefusedConnections int `json:"refused"`
	// MaxQueued is the maximum number of requests that waited for a slot.
	MaxQueued int `json:"queueMost"`
	// Shed counts requests answered notRun because the queue was full or the deadline too near, or under the Shed fault.
	Shed int `json:"shed"`
	// RefusedDraining counts requests refused because the searcher drains.
	RefusedDraining int `json:"draining"`
	// RefusedVersion counts requests refused because the searcher does not hold the index version.
	RefusedVersion int `json:"version"`
	// CanceledQueued counts requests whose caller disconnected before they got a slot.
	CanceledQueued int `json:"cancelled"`
	// CanceledRunning counts requests whose caller disconnected while they ran.
	CanceledRunning int `json:"startedCanceled"`
	Crashes         int `json:"crashes"`
}

// lockedCounters are counters guarded by a mutex.
type lockedCounters struct {
	mu sync.Mutex
	c  Counters
}

func (l *lockedCounters) update(change func(c *Counters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.c)
}

func (l *lockedCounters) recordCharge(key string, claim yuccahinge.ClaimID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c.RunsByKey == nil {
		l.c.RunsByKey = map[string]int{}
		l.c.RunsByClaim = map[yuccahinge.ClaimID]int{}
	}
	l.c.RunsByKey[key]++
	l.c.RunsByClaim[claim]++
}

func (l *lockedCounters) snapshot() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.c
	c.RunsByKey = maps.Clone(c.RunsByKey)
	c.RunsByClaim = maps.Clone(c.RunsByClaim)
	return c
}

// reset zeroes all counters, but open connections still count as open.
func (l *lockedCounters) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := l.c.OpenConnections
	l.c = Counters{OpenConnections: open, MaxConnections: open}
}
