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

// TestTicketIsInForceInTimeOnDeadConnections guards against a ticket that comes too late if all connections to the platform die without
// a sign right after the ticket before it, when all long polls have just begun anew.
func TestTicketIsInForceInTimeOnDeadConnections(t *testing.T) {
	for _, c := range []struct {
		hosts int
		bound yuccahinge.Millis
	}{{8, 3000}, {30, 5000}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &testFleet{t: t}
				f.publish()
				var wait sync.WaitGroup
				for i := range c.hosts {
					h := f.add(i, yuccahinge.DomainID(fmt.Sprint("d", i%3)))
					h.WatchWaitMs = 4 * yuccahinge.Second
					h.BoundMs = c.bound
					run(ctx, &wait, h)
				}
				for n := yuccahinge.TicketNumber(3); n < 12; n += 2 {
					time.Sleep(10 * time.Second)
					f.publish()
					time.Sleep(100 * time.Millisecond)
					f.mu.Lock()
					f.deadUntil = time.Now()
					f.mu.Unlock()
					f.publish()
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
