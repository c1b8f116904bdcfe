package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// loadGenerator sends searches and charges to the hosts that report themselves ready, as a load balancer does, and
// records the replies.
type loadGenerator struct {
	s      *system
	client *http.Client
	ready  []atomic.Bool
	group  sync.WaitGroup
	stop   context.CancelFunc

	mu       sync.Mutex
	searches []reply
	charges  []chargeRecord
}

// chargeRecord is a charge and the last reply to it.
type chargeRecord struct {
	key string
	reply
}

const (
	searchWorkers = 6
	chargeWorkers = 4
)

func startLoad(s *system) *loadGenerator {
	ctx, stop := context.WithCancel(s.t.Context())
	l := &loadGenerator{s: s, ready: make([]atomic.Bool, len(s.hosts)), stop: stop}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: searchWorkers + chargeWorkers}, Timeout: waitLimit}
	for i, h := range s.hosts {
		l.ready[i].Store(true)
		l.group.Go(func() { l.pollReadiness(ctx, i, h) })
	}
	for range searchWorkers {
		l.group.Go(func() { l.runSearches(ctx) })
	}
	for w := range chargeWorkers {
		l.group.Go(func() { l.runCharges(ctx, w) })
	}
	s.t.Cleanup(func() {
		stop()
		l.group.Wait()
		l.client.CloseIdleConnections()
	})
	return l
}

// pollReadiness polls whether a host is ready.
func (l *loadGenerator) pollReadiness(ctx context.Context, i int, h *host) {
	tick := time.NewTicker(4 * pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		l.ready[i].Store(isReady(h))
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// pickReady waits for ready hosts and returns a random one.
func (l *loadGenerator) pickReady() *host {
	for {
		i := rand.IntN(len(l.s.hosts))
		if l.ready[i].Load() {
			return l.s.hosts[i]
		}
		time.Sleep(pollInterval)
	}
}

func (l *loadGenerator) runSearches(ctx context.Context) {
	for ctx.Err() == nil {
		r := l.pickReady().search(context.WithoutCancel(ctx), l.client)
		l.mu.Lock()
		l.searches = append(l.searches, r)
		l.mu.Unlock()
	}
}

func (l *loadGenerator) runCharges(ctx context.Context, worker int) {
	uncanceled := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("load-%d-%d", worker, n)
		r := l.pickReady().claim(uncanceled, key)
		for range 3 {
			if r.Claim == "" {
				break
			}
			claim := r.Claim
			r = l.pickReady().charge(uncanceled, claim, key)
			r.Claim = claim
			if r.Outcome == yuccahinge.Ran || r.Outcome == yuccahinge.NotRun {
				break
			}
		}
		l.mu.Lock()
		l.charges = append(l.charges, chargeRecord{key, r})
		l.mu.Unlock()
	}
}

// waitForProgress waits until at least the given numbers of further searches and charges have ended.
func (l *loadGenerator) waitForProgress(searches, charges int) {
	l.s.t.Helper()
	l.mu.Lock()
	searches += len(l.searches)
	charges += len(l.charges)
	l.mu.Unlock()
	eventually(l.s.t, "further searches and charges of the load have ended", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.searches) >= searches && len(l.charges) >= charges
	})
}

// stopAndCheck stops the load and checks every reply against the runs at the searchers. If hosts were killed, replies may
// be lost and outcomes may be unknown, but no reported outcome may be false.
func (l *loadGenerator) stopAndCheck(t *testing.T, killed bool) {
	t.Helper()
	l.stop()
	l.group.Wait()
	complete, lost, refused := 0, 0, 0
	for _, r := range l.searches {
		switch {
		case r.Err != nil && killed:
			lost++
		case r.Status == http.StatusServiceUnavailable && r.Outcome == yuccahinge.NotRun && killed:
			// The last readiness poll was answered by the previous process of the host. The new one has no ticket yet.
			refused++
		case r.Err != nil || r.Outcome != yuccahinge.Complete:
			t.Errorf("search got %+v", r)
		default:
			complete++
		}
	}
	l.checkCharges(t, killed)
	t.Logf("searches: %d complete, %d lost with their host, %d refused by a host not yet ready", complete, lost, refused)
}

func (l *loadGenerator) checkCharges(t *testing.T, killed bool) {
	t.Helper()
	runs := l.s.runs()
	count := make(map[yuccahinge.Outcome]int)
	for _, c := range l.charges {
		n := runs[c.key]
		count[c.Outcome]++
		switch {
		case n > 1:
			t.Errorf("charge %s ran %d times", c.key, n)
		case c.Outcome == yuccahinge.NotRun && n != 0:
			t.Errorf("charge %s was reported as not run, but it ran: %+v", c.key, c.reply)
		case c.Outcome == yuccahinge.Ran && n != 1:
			t.Errorf("charge %s was reported as run, but it ran %d times: %+v", c.key, n, c.reply)
		case c.Outcome != yuccahinge.Ran && c.Outcome != yuccahinge.NotRun && !killed:
			t.Errorf("charge %s got %+v", c.key, c.reply)
		}
	}
	t.Logf("outcomes of charges: %v", count)
}
