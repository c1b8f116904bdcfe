package syncer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// runBounded runs fleets of different sizes, each with a bound, and then steps. Steps publish a ticket and return its number; it must be in
// force everywhere within the bound from then on.
func runBounded(t *testing.T, steps func(f *testFleet) yuccahinge.TicketNumber) {
	t.Helper()
	for _, c := range []struct {
		hosts int
		bound yuccahinge.Millis
	}{{8, 3000}, {30, 3000}, {30, 5000}} {
		t.Run(fmt.Sprintf("%d hosts, %.0f ms", c.hosts, c.bound), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &testFleet{t: t}
				f.publish()
				var wait sync.WaitGroup
				for i := range c.hosts {
					run(ctx, &wait, f.add(i, yuccahinge.DomainID(fmt.Sprint("d", i%3)), func(h *Syncer) {
						h.WatchWaitMs = 4 * yuccahinge.Second
						h.BoundMs = c.bound
					}))
				}
				for range 5 {
					time.Sleep(10 * time.Second)
					n := steps(f)
					time.Sleep(c.bound.Duration())
					if got := f.inForce(n); got != c.hosts {
						t.Errorf("ticket %d is in force on %d of %d hosts after %.0f ms", n, got, c.hosts, c.bound)
					}
				}
				cancel()
				wait.Wait()
			})
		})
	}
}

// setPlatform sets whether the platform is down, and whether this host reaches no other.
func (f *testFleet) setPlatform(down, alone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.cut = func(string, string) bool { return alone }
}

// TestTicketIsInForceInTimeOnDeadConnections guards against a ticket that comes too late if all connections to the platform die without
// a sign right after the ticket before it, when all long polls have just begun anew.
func TestTicketIsInForceInTimeOnDeadConnections(t *testing.T) {
	runBounded(t, func(f *testFleet) yuccahinge.TicketNumber {
		f.publish()
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.deadUntil = time.Now()
		f.mu.Unlock()
		return f.publish()
	})
}

// TestTicketIsInForceInTimeAfterAnOutage guards against hosts that read the platform too late after it was down for long, because they
// try less and less often, where no other host can tell them.
func TestTicketIsInForceInTimeAfterAnOutage(t *testing.T) {
	runBounded(t, func(f *testFleet) yuccahinge.TicketNumber {
		f.setPlatform(true, false)
		time.Sleep(30 * time.Second)
		f.setPlatform(false, true)
		return f.publish()
	})
}
