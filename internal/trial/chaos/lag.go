package chaos

import (
	"context"
	"time"
)

const (
	// lagInterval is the time between two measurements of the lag of this process.
	lagInterval = 10 * time.Millisecond
	// minLag is the lag from which on this process counts as stalled.
	minLag = 100 * time.Millisecond
)

// lag records the times at which the machine did not run this process, with the searchers and links in it, although it had
// work. What arrived during these times may have been sent much earlier. The zero value is ready to use.
type lag struct {
	stalls disruptions
}

// measure records stalls until ctx ends.
func (l *lag) measure(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		sleep(ctx, lagInterval)
		if time.Since(start) > lagInterval+minLag {
			l.stalls.append(span{from: start, to: time.Now()})
		}
	}
}

// overlaps reports whether a stall may have delayed what arrived at an instant.
func (l *lag) overlaps(arrival time.Time) bool {
	return l.stalls.overlap(arrival.Add(-minLag), arrival)
}

// longest returns the length of the longest stall, or zero without one.
func (l *lag) longest() time.Duration {
	l.stalls.mu.Lock()
	defer l.stalls.mu.Unlock()
	var out time.Duration
	for _, s := range l.stalls.list {
		out = max(out, s.to.Sub(s.from))
	}
	return out
}
