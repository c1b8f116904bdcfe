package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case late: a request crashes each searcher that runs it, some time after the searcher has begun. It comes again and again from a client of a
// zone without searchers, at the hosts of that zone in turn, beside ordinary requests at all hosts.
const (
	crashRoute = "sweep/crash"
	crashZone  = "poprad"
	crashFor   = 80 * time.Second
	crashEvery = 5 * time.Second
	// crashAfter is how long a searcher runs the request until it crashes.
	crashAfter = 150 * time.Millisecond
	// backAfter is when a searcher that has crashed is back at its address, with a new id.
	backAfter = 2 * time.Second
	// contact is contact_ms, and maxRetries the number of retries that the rule allows after that.
	contact    = 4 * time.Second
	maxRetries = 3
	// bindPause is the time between two tries to listen at an address again.
	bindPause = 50 * time.Millisecond
)

// crashes is the state of the case.
type crashes struct {
	*system
	trouble bool

	mu       sync.Mutex
	restarts int
	// at holds the times of the crashes, sent when each request that crashes searchers was sent, and reached at how many searchers it arrived.
	at      []time.Time
	sent    map[string]time.Time
	reached map[string]int
}

func playLate(ctx context.Context, s *system, trouble bool) (bool, error) {
	c := &crashes{system: s, trouble: trouble, sent: make(map[string]time.Time), reached: make(map[string]int)}
	var shards []string
	for i := range deskShards {
		name := fmt.Sprintf("desk-%d", i)
		shards = append(shards, name)
		if err := s.addService(ctx, &searcher{service: name, slots: 2, work: sweepWork, records: sweepRecords}, 26, "kosice", "presov"); err != nil {
			return false, err
		}
	}
	for _, one := range s.searchers {
		c.arm(ctx, one)
	}
	s.addSweep("sweep", shards)
	s.putConfig(1)
	go s.beat(ctx)
	if err := s.startHosts(ctx, siteZones()); err != nil {
		return false, err
	}
	sleep(ctx, settleFor)
	calls, stop := context.WithTimeout(ctx, crashFor)
	defer stop()
	var ordinary tally
	var clients sync.WaitGroup
	clients.Go(func() { s.ask(calls, "sweep", shards, &ordinary) })
	clients.Go(func() { c.sendCrashes(calls) })
	clients.Wait()
	s.record.printf("%d ordinary requests, of which %d were served well", ordinary.sent.Load(), ordinary.ok.Load())
	return c.judge(), nil
}

// arm lets a searcher crash by the requests below crashRoute.
func (c *crashes) arm(ctx context.Context, one *searcher) {
	var once sync.Once
	one.onRun = func(r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/"+crashRoute+"/") {
			return
		}
		c.mu.Lock()
		c.reached[r.Header.Get(headerAttempt)]++
		c.mu.Unlock()
		if c.trouble {
			sleep(ctx, crashAfter)
			once.Do(func() { c.crash(ctx, one) })
		}
	}
}

// crash ends a searcher, which is back after a while. The store drops its entry after some heartbeats of silence.
func (c *crashes) crash(ctx context.Context, one *searcher) {
	c.mu.Lock()
	c.at = append(c.at, time.Now())
	c.mu.Unlock()
	one.isDark.Store(true)
	_ = one.server.Close() // the connections end in any case
	time.AfterFunc(backAfter, func() { c.restart(ctx, one) })
	time.AfterFunc(lapseAfter*heartbeat, func() { c.store.Delete("servers/" + one.id) })
}

// restart starts a searcher at the address of one that has crashed.
func (c *crashes) restart(ctx context.Context, old *searcher) {
	c.mu.Lock()
	c.restarts++
	id := fmt.Sprintf("i-%s-r%d", old.service, c.restarts)
	c.mu.Unlock()
	next := &searcher{id: id, service: old.service, zone: old.zone, slots: old.slots, work: old.work, records: old.records, born: time.Now().UnixMilli()}
	c.arm(ctx, next)
	for ctx.Err() == nil {
		l, err := net.Listen("tcp", old.addr)
		if err == nil {
			next.serveOn(ctx, l)
			c.replace(old, next)
			return
		}
		sleep(ctx, bindPause)
	}
}

// sendCrashes sends the requests that crash searchers until ctx ends.
func (c *crashes) sendCrashes(ctx context.Context) {
	var hosts []*host
	for _, h := range c.hosts {
		if h.zone == crashZone {
			hosts = append(hosts, h)
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		h, id := hosts[n%len(hosts)], fmt.Sprintf("crash-%d", n)
		c.mu.Lock()
		c.sent[id] = time.Now()
		c.mu.Unlock()
		status, err := getWith(h.callers, crashRoute, id, "")
		if err != nil {
			status = err.Error()
		}
		c.mu.Lock()
		c.record.printf("%s to %s: %s; %d crashes so far", id, h.name, status, len(c.at))
		c.mu.Unlock()
		sleep(ctx, crashEvery)
	}
}

// judge reports whether too many late retries reached searchers.
func (c *crashes) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for id, at := range c.sent {
		if len(c.at) >= 3 && c.reached[id] > 0 && at.After(c.at[2].Add(contact)) {
			late++
		}
	}
	c.record.printf("%d requests that crash searchers, of which %d reached searchers; %d crashes", len(c.sent), len(c.reached), len(c.at))
	c.record.printf("%d retries that were sent later than %v after the third crash reached searchers; %d are allowed", late, contact, maxRetries)
	return late > maxRetries
}
