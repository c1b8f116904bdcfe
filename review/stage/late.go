package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// drainTime is the bound drain_ms.
	drainTime = 3 * time.Second
	// drainRest is how much longer a searcher serves before it ends.
	drainRest = 1 * time.Second
)

// late has clients of three of eight entry hosts wait for searchers with few connections, while one of these is emptied and taken away.
func late(s *stage) (int, error) {
	const (
		deadline = 8 * time.Second
		clients  = 45
		length   = 20 * time.Second
		leaveAt  = 8 * time.Second
	)
	s.store.PutConfig(1, []store.Route{{
		Name: "pay", Host: clientName, Prefix: "/pay/", AtMostOnce: true, Service: "billing", TimeoutMs: int(deadline.Milliseconds()),
		ObjectiveMs: 6000, Attempts: 2,
	}}, []string{"billing"}, 44, 262144)
	for i := range 3 {
		q := &searcher{id: fmt.Sprint("i-", i+1), service: "billing", zone: fmt.Sprint("z", i+1), work: time.Second}
		if err := s.startSearcher(q); err != nil {
			return 0, err
		}
	}
	if err := s.startHosts(8, "z1", "z2", "z3"); err != nil {
		return 0, err
	}
	l := &leaver{searcher: s.searchers[0]}
	l.searcher.onArrival = l.arrival
	// The hosts have got to know each other by then.
	time.Sleep(3 * time.Second)
	if s.trouble {
		time.AfterFunc(leaveAt, l.leave)
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	var lost, answered atomic.Int64
	for c := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(c) * 37 * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				a := s.send(&request{
					host: s.hosts[c%3], method: http.MethodPost, target: "/pay/x", attempt: fmt.Sprintf("%08x%08x", c+1, n+1),
					body: "order", deadline: deadline,
				})
				switch {
				case isPromise(a.status):
					time.Sleep(300 * time.Millisecond)
				case a.status == http.StatusOK:
					answered.Add(1)
				default:
					lost.Add(1)
				}
			}
		})
	}
	group.Wait()
	s.record.printf("%d requests answered, %d lost, %d reached a searcher too late", answered.Load(), lost.Load(), l.late.Load())
	return int(l.late.Load()), nil
}

// leaver is a searcher that leaves and ends.
type leaver struct {
	searcher *searcher
	// silently is set if the searcher's entry is removed instead of draining.
	silently bool
	late     atomic.Int64

	mu sync.Mutex
	// leftAt is when the store had acknowledged that the searcher leaves.
	leftAt time.Time
}

func (l *leaver) leave() {
	q := l.searcher
	if l.silently {
		q.silent.Store(true)
		q.stage.store.DeleteSearcher(q.id)
	} else {
		q.draining.Store(true)
		q.write()
	}
	l.mu.Lock()
	l.leftAt = time.Now()
	l.mu.Unlock()
	q.stage.record.printf("the store has acknowledged that %s leaves", q.id)
	time.AfterFunc(drainTime+drainRest, func() {
		q.silent.Store(true)
		q.stage.store.DeleteSearcher(q.id)
		_ = q.server.Close()
		q.stage.record.printf("%s has ended", q.id)
	})
}

// arrival checks a request that has reached the searcher.
func (l *leaver) arrival(attempt string) {
	l.mu.Lock()
	leftAt := l.leftAt
	l.mu.Unlock()
	if after := time.Since(leftAt); !leftAt.IsZero() && after > drainTime {
		l.late.Add(1)
		l.searcher.stage.record.printf("DRAIN: %s reached %s %.3f s after the acknowledgement", attempt, l.searcher.id, after.Seconds())
	}
}
