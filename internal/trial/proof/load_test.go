package proof

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

// load sends searches and charges to the hosts that say they are ready, as a balancer does, and keeps the replies.
type load struct {
	s      *site
	client *http.Client
	ready  []atomic.Bool
	group  sync.WaitGroup
	stop   context.CancelFunc

	mu       sync.Mutex
	searches []reply
	charges  []charged
}

// charged is a charge and the last reply to it.
type charged struct {
	key string
	reply
}

const (
	searchWorkers = 6
	chargeWorkers = 4
)

func startLoad(s *site) *load {
	ctx, stop := context.WithCancel(s.t.Context())
	l := &load{s: s, ready: make([]atomic.Bool, len(s.hosts)), stop: stop}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: searchWorkers + chargeWorkers}, Timeout: limit}
	for i, h := range s.hosts {
		l.ready[i].Store(true)
		l.group.Go(func() { l.watch(ctx, i, h) })
	}
	for range searchWorkers {
		l.group.Go(func() { l.search(ctx) })
	}
	for w := range chargeWorkers {
		l.group.Go(func() { l.charge(ctx, w) })
	}
	s.t.Cleanup(func() {
		stop()
		l.group.Wait()
		l.client.CloseIdleConnections()
	})
	return l
}

// watch keeps the readiness of a host.
func (l *load) watch(ctx context.Context, i int, h *host) {
	tick := time.NewTicker(4 * poll)
	defer tick.Stop()
	for ctx.Err() == nil {
		l.ready[i].Store(isReady(h))
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// pick returns a host that is ready.
func (l *load) pick() *host {
	for {
		i := rand.IntN(len(l.s.hosts))
		if l.ready[i].Load() {
			return l.s.hosts[i]
		}
		time.Sleep(poll)
	}
}

func (l *load) search(ctx context.Context) {
	for ctx.Err() == nil {
		r := l.pick().search(context.WithoutCancel(ctx), l.client)
		l.mu.Lock()
		l.searches = append(l.searches, r)
		l.mu.Unlock()
	}
}

func (l *load) charge(ctx context.Context, worker int) {
	alive := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("load-%d-%d", worker, n)
		r := l.pick().claim(alive, key)
		for range 3 {
			if r.Claim == "" {
				break
			}
			claim := r.Claim
			r = l.pick().charge(alive, claim, key)
			r.Claim = claim
			if r.Outcome == yuccahinge.Ran || r.Outcome == yuccahinge.NotRun {
				break
			}
		}
		l.mu.Lock()
		l.charges = append(l.charges, charged{key, r})
		l.mu.Unlock()
	}
}

// progress waits until a number of further searches and charges have been answered.
func (l *load) progress(searches, charges int) {
	l.s.t.Helper()
	l.mu.Lock()
	searches += len(l.searches)
	charges += len(l.charges)
	l.mu.Unlock()
	eventually(l.s.t, "the load goes on", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.searches) >= searches && len(l.charges) >= charges
	})
}

// end stops the load and checks every reply against what ran. Where hosts were killed, replies may be lost and
// outcomes unknown, but none may be false.
func (l *load) end(t *testing.T, killed bool) {
	t.Helper()
	l.stop()
	l.group.Wait()
	complete, lost, refused := 0, 0, 0
	for _, r := range l.searches {
		switch {
		case r.Err != nil && killed:
			lost++
		case r.Status == http.StatusServiceUnavailable && r.Outcome == yuccahinge.NotRun && killed:
			// The balancer had not noticed yet that this is a new life, which has no ticket.
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

func (l *load) checkCharges(t *testing.T, killed bool) {
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
			t.Errorf("charge %s was said not to have run, and ran: %+v", c.key, c.reply)
		case c.Outcome == yuccahinge.Ran && n != 1:
			t.Errorf("charge %s was said to have run, and ran %d times: %+v", c.key, n, c.reply)
		case c.Outcome != yuccahinge.Ran && c.Outcome != yuccahinge.NotRun && !killed:
			t.Errorf("charge %s got %+v", c.key, c.reply)
		}
	}
	t.Logf("outcomes of charges: %v", count)
}
