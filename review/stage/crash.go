package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// contactTime is the bound contact_ms.
	contactTime = 4 * time.Second
	// backAfter is how long after a crash the next searcher is there, and expiry when the entry of the crashed one is gone.
	backAfter = 3 * time.Second
	expiry    = 3 * heartbeat
	// allowedRetries is the number of retries that may reach searchers later than contactTime after the third crash.
	allowedRetries = 3
	// crashPrefix begins the attempt ids of the request that crashes searchers.
	crashPrefix = "dead"
)

// crash has one request that crashes the searchers that run it come again at eight entry hosts in turn, whose seeds are down.
func crash(s *stage) (int, error) {
	const (
		searchers = 7
		clients   = 8
		length    = 45 * time.Second
		pace      = time.Second
	)
	s.store.PutConfig(1, []store.Route{
		{Name: "pay", Host: clientName, Prefix: "/pay/", AtMostOnce: true, Service: "billing", TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 2},
	}, []string{"billing"}, 44, 262144)
	f := &crashFleet{stage: s}
	for i := range searchers {
		if err := f.start(fmt.Sprint("z", i%3+1)); err != nil {
			return 0, err
		}
	}
	s.seedsDown = s.trouble
	if err := s.startHosts(8, "z1", "z2", "z3"); err != nil {
		return 0, err
	}
	// All hosts are in touch from then on.
	time.Sleep(contactTime + time.Second)
	end := time.Now().Add(length)
	var group sync.WaitGroup
	var lost atomic.Int64
	for c := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := s.send(&request{
					host: s.hosts[(c+n)%len(s.hosts)], method: http.MethodPost, target: fmt.Sprintf("/pay/%d-%d", c, n),
					attempt: fmt.Sprintf("%08x%08x", c+1, n+1), body: "order", deadline: 2 * time.Second,
				})
				if a.status != http.StatusOK && !isPromise(a.status) {
					lost.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		s.send(&request{
			host: s.hosts[n%len(s.hosts)], method: http.MethodPost, target: "/pay/crash", attempt: fmt.Sprintf("%s%012x", crashPrefix, n+1),
			body: "order", deadline: 2 * time.Second,
		})
		time.Sleep(pace)
	}
	group.Wait()
	crashes, late := f.counts()
	s.record.printf("%d searchers crashed, %d retries reached searchers late, %d other orders lost", crashes, late, lost.Load())
	return max(0, late-allowedRetries), nil
}

// crashFleet holds the searchers of one service, each of which crashes once.
type crashFleet struct {
	stage *stage

	mu      sync.Mutex
	started int
	crashes []time.Time
	late    map[string]bool
}

// start starts a searcher in a zone.
func (f *crashFleet) start(zone string) error {
	f.mu.Lock()
	f.started++
	q := &searcher{id: fmt.Sprint("i-", f.started), service: "billing", zone: zone, work: 90 * time.Millisecond}
	f.mu.Unlock()
	q.onArrival = func(attempt string) { f.arrival(q, attempt) }
	var once sync.Once
	q.answer = func(_ http.ResponseWriter, _ *http.Request, attempt string) bool {
		if !strings.HasPrefix(attempt, crashPrefix) {
			return false
		}
		once.Do(func() { f.crash(q, attempt) })
		panic(http.ErrAbortHandler)
	}
	return f.stage.startSearcher(q)
}

// crash ends a searcher. Another one starts some seconds later.
func (f *crashFleet) crash(q *searcher, attempt string) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.stage.record.printf("crash %d: %s ends under %s", n, q.id, attempt)
	q.silent.Store(true)
	_ = q.server.Close()
	time.AfterFunc(expiry, func() { f.stage.store.DeleteSearcher(q.id) })
	time.AfterFunc(backAfter, func() {
		if err := f.start(q.zone); err != nil {
			f.stage.record.printf("no searcher in the place of %s: %v", q.id, err)
		}
	})
}

// arrival checks a request that has reached a searcher.
func (f *crashFleet) arrival(q *searcher, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !strings.HasPrefix(attempt, crashPrefix) || len(f.crashes) < 3 {
		return
	}
	after := time.Since(f.crashes[2])
	if after <= contactTime {
		return
	}
	if f.late == nil {
		f.late = make(map[string]bool)
	}
	f.late[attempt] = true
	f.stage.record.printf("BUDGET: retry %s reached %s %.3f s after the third crash", attempt, q.id, after.Seconds())
}

func (f *crashFleet) counts() (crashes, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes), len(f.late)
}
