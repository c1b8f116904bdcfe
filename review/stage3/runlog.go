package main

import (
	"sync"
	"time"
)

// runLog holds the runs of each attempt.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*oneRun
}

// oneRun is a run of an attempt at a searcher.
type oneRun struct {
	searcher string
	// start and end are when the run began and ended, and due when it would have ended by itself.
	start, end, due time.Time
}

func (l *runLog) begin(attempt, searcher string, due time.Time) *oneRun {
	r := &oneRun{searcher: searcher, start: time.Now(), due: due}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]*oneRun)
	}
	l.runs[attempt] = append(l.runs[attempt], r)
	return r
}

func (l *runLog) finish(r *oneRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end = time.Now()
}
