package delays

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// TestStepsFitIntoTheBound guards against delays that add up to more than the time in which a departure must be known, or to so much that
// a removed entry can't be told from one that lapsed in an outage.
func TestStepsFitIntoTheBound(t *testing.T) {
	for _, drain := range []yuccahinge.Millis{0, 1000, 2000, 3000, 5000, 6000, 30_000} {
		for _, heartbeat := range []yuccahinge.Millis{0, 400, 1200, 3000} {
			t.Run(fmt.Sprintf("drain %g, heartbeat %g", drain, heartbeat), func(t *testing.T) {
				b := Bound{DrainMs: drain, HeartbeatMs: heartbeat}
				const jitter = 1.125
				cycle := b.ReadInterval()
				steps := []yuccahinge.Millis{
					max(cycle, b.RefreshAfter()+jitter*b.WatchPause()), // the greatest age at rest
					b.AskOthersAfter(), b.AskSubstitutesAfter(), b.ReadAfter(0), b.ReadAfter(1), b.Limit(), b.ShortestOutage(),
				}
				if !slices.IsSorted(steps) {
					t.Errorf("the steps %v are not in order", steps)
				}
				if retry := cycle + b.ReadTimeout() + b.MinCall(); retry >= b.Limit() {
					t.Errorf("a reader on a dead connection reads again after %g ms, want less than %g", retry, b.Limit())
				}
				if worst := b.ReadAfter(1) + b.ReadTimeout() + b.MinCall(); worst >= b.KeepFor() || b.KeepFor() >= b.drain() {
					t.Errorf("a departure is known after %g ms and a searcher kept for %g, want less than %g", worst, b.KeepFor(), b.drain())
				}
			})
		}
	}
}
