package back

import (
	"maps"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Counters are what a searcher counted since its first start or the last reset.
type Counters struct {
	// Received counts requests that were read, Runs those that took a slot.
	Received int `json:"received"`
	Runs     int `json:"runs"`
	// Finished counts runs that came to their end.
	Finished    int                        `json:"finished"`
	RunsByKey   map[string]int             `json:"runsByKey"`
	RunsByClaim map[yuccahinge.ClaimID]int `json:"runsByClaim"`
	// ConnectionsNow and ConnectionsMost count open connections.
	ConnectionsNow  int `json:"connectionsNow"`
	ConnectionsMost int `json:"connectionsMost"`
	Connects        int `json:"connects"`
	// Refused counts connections above the cap.
	Refused   int `json:"refused"`
	QueueMost int `json:"queueMost"`
	// Shed counts requests answered notRun for want of room or time, Draining and Version those for these reasons.
	Shed     int `json:"shed"`
	Draining int `json:"draining"`
	Version  int `json:"version"`
	// Cancelled counts requests whose caller went before their start, StartedCanceled those after.
	Cancelled       int `json:"cancelled"`
	StartedCanceled int `json:"startedCanceled"`
	Crashes         int `json:"crashes"`
}

// tally guards the counters.
type tally struct {
	mu sync.Mutex
	c  Counters
}

func (t *tally) add(change func(c *Counters)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.c)
}

func (t *tally) charge(key string, claim yuccahinge.ClaimID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.c.RunsByKey == nil {
		t.c.RunsByKey = map[string]int{}
		t.c.RunsByClaim = map[yuccahinge.ClaimID]int{}
	}
	t.c.RunsByKey[key]++
	t.c.RunsByClaim[claim]++
}

func (t *tally) read() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.c
	c.RunsByKey = maps.Clone(c.RunsByKey)
	c.RunsByClaim = maps.Clone(c.RunsByClaim)
	return c
}

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.c.ConnectionsNow
	t.c = Counters{ConnectionsNow: now, ConnectionsMost: now}
}
