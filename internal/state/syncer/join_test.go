package syncer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// silentPlatform accepts calls and never answers.
type silentPlatform struct{ yuccahinge.ConfigSource }

func (silentPlatform) Head(ctx context.Context, _ yuccahinge.TicketNumber, _ yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (silentPlatform) Members(ctx context.Context) ([]yuccahinge.Member, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestFreshHostDoesNotWaitLongForASilentPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		run(ctx, &wait, f.add(0, "d0"))
		time.Sleep(3 * time.Second)
		fresh := f.add(1, "d1", func(h *Syncer) {
			h.Seeds = []string{"127.0.0.1:7000"}
			h.Source = silentPlatform{f}
		})
		run(ctx, &wait, fresh)
		time.Sleep(2*joinCallTimeout.Duration() + time.Second/2)
		if ok, why := fresh.Ready(); !ok {
			t.Errorf("not ready: %s", why)
		}
		if s, _ := fresh.State(); s == nil || s.Ticket != 1 {
			t.Errorf("state is %v, want ticket 1", s)
		}
		cancel()
		wait.Wait()
	})
}

// TestHostsThatStartTogetherFindEachOther starts hosts that cannot reach each other's seeds yet, as after a power
// loss of the whole fleet. Each becomes ready from the platform, and must still find the others once the network
// works.
func TestHostsThatStartTogetherFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t, cut: func(string, string) bool { return true }}
		f.publish()
		var wait sync.WaitGroup
		var hosts []*Syncer
		for i := range 4 {
			h := f.add(i, "d0", func(h *Syncer) { h.Seeds = []string{"127.0.0.1:7000", "127.0.0.1:7001"} })
			hosts = append(hosts, h)
			run(ctx, &wait, h)
		}
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i, h := range hosts {
			if n := len(h.Roster().Members()); n != len(hosts) {
				t.Errorf("host %d knows %d of %d hosts", i, n, len(hosts))
			}
		}
		cancel()
		wait.Wait()
	})
}

// countingPlatform counts the reads of the head.
type countingPlatform struct {
	yuccahinge.ConfigSource
	calls *atomic.Int64
}

func (c countingPlatform) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	c.calls.Add(1)
	return c.ConfigSource.Head(ctx, after, wait)
}

// TestFreshHostUsesPeersReads starts a host beside readers that have just read the platform; it must not read the
// platform again unless it is a reader.
func TestFreshHostUsesPeersReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		for i := range 5 {
			h := f.add(i, "d0", func(h *Syncer) { h.Seeds = []string{"127.0.0.1:7000", "127.0.0.1:7001"} })
			run(ctx, &wait, h)
		}
		time.Sleep(5 * time.Second)
		calls := new(atomic.Int64)
		fresh := f.add(5, "d0", func(h *Syncer) {
			h.Seeds = []string{"127.0.0.1:7000"}
			h.Source = countingPlatform{f, calls}
		})
		run(ctx, &wait, fresh)
		time.Sleep(2 * time.Second)
		if ok, why := fresh.Ready(); !ok {
			t.Errorf("not ready: %s", why)
		}
		if s, _ := fresh.State(); s == nil || s.Ticket != 1 {
			t.Errorf("state is %v, want ticket 1", s)
		}
		if n := calls.Load(); n > 0 && !fresh.node.IsElected() {
			t.Errorf("a host that is not a reader called the platform %d times", n)
		}
		f.publish()
		time.Sleep(3 * time.Second)
		if s, _ := fresh.State(); s == nil || s.Ticket != 2 {
			t.Errorf("state is %v after the next ticket, want ticket 2", s)
		}
		cancel()
		wait.Wait()
	})
}

// hangingPeers accept calls and never answer, like machines without power.
type hangingPeers struct{ yuccahinge.PeerCaller }

func (hangingPeers) Call(ctx context.Context, _ string, _ yuccahinge.PeerMethod, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestUnreachableSeedsDoNotDelayTheFirstTicket starts a host after all hosts have lost power: calls to its seeds
// hang.
func TestUnreachableSeedsDoNotDelayTheFirstTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		h := f.add(0, "d0")
		h.Seeds = []string{"127.0.0.1:7001"}
		h.Peers = hangingPeers{}
		run(ctx, &wait, h)
		time.Sleep(seedWaitMs.Duration() + 100*time.Millisecond)
		if s, _ := h.State(); s == nil || s.Ticket != 1 {
			t.Errorf("state is %v, want ticket 1", s)
		}
		cancel()
		wait.Wait()
	})
}

// TestHostsWithoutATicketLimitPlatformReads starts many hosts at once while nothing is published. They must find each
// other soon, so that only readers keep calling the platform.
func TestHostsWithoutATicketLimitPlatformReads(t *testing.T) {
	const hosts = 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		var wait sync.WaitGroup
		calls := new(atomic.Int64)
		var all []*Syncer
		for i := range hosts {
			h := f.add(i, "d0")
			h.Seeds = []string{"127.0.0.1:7000", "127.0.0.1:7001"}
			h.Source = countingPlatform{f, calls}
			all = append(all, h)
		}
		for _, h := range all {
			run(ctx, &wait, h)
		}
		time.Sleep(4 * time.Second)
		// Each host reads at its start and in every fifth 300 ms round after, in case the readers fail; two readers watch.
		const most = hosts*(1+3) + 2*5
		if n := calls.Load(); n > most {
			t.Errorf("%d calls to the platform, want at most %d", n, most)
		}
		f.publish()
		time.Sleep(3 * time.Second)
		for i, h := range all {
			if s, _ := h.State(); s == nil || s.Ticket != 1 {
				t.Errorf("host %d: state is %v three seconds after the first ticket, want ticket 1", i, s)
			}
		}
		cancel()
		wait.Wait()
	})
}
