package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

// stale freezes the two entry hosts that read the list of searchers, while one searcher leaves that doesn't report draining: its
// entry is removed, and it serves for drain_ms and a little longer.
func stale(s *stage) (int, error) {
	const (
		deadline  = 2 * time.Second
		clients   = 18
		freezeFor = 4 * time.Second
	)
	s.store.PutConfig(1, []store.Route{{
		Name: "pay", Host: clientName, Prefix: "/pay/", AtMostOnce: true, Service: "billing", TimeoutMs: int(deadline.Milliseconds()),
		ObjectiveMs: 400, Attempts: 2,
	}}, []string{"billing"}, 44, 262144)
	for i := range 4 {
		q := &searcher{id: fmt.Sprint("i-", i+1), service: "billing", zone: fmt.Sprint("z", i%3+1), work: 90 * time.Millisecond}
		if err := s.startSearcher(q); err != nil {
			return 0, err
		}
	}
	if err := s.startHosts(8, "z1", "z2", "z3"); err != nil {
		return 0, err
	}
	l := &leaver{searcher: s.searchers[0], silently: true}
	l.searcher.onArrival = l.arrival
	time.Sleep(5 * time.Second)
	readers := s.listReaders(3 * time.Second)
	s.record.printf("%d hosts read the list of searchers", len(readers))
	if len(readers) != 2 {
		return 0, fmt.Errorf("%d hosts read the list of searchers, not 2", len(readers))
	}
	var group sync.WaitGroup
	var lost, answered atomic.Int64
	end := time.Now().Add(14 * time.Second)
	var others []*entryHost
	for _, h := range s.hosts {
		if h != readers[0] && h != readers[1] {
			others = append(others, h)
		}
	}
	for c := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := s.send(&request{
					host: others[c%len(others)], method: http.MethodPost, target: "/pay/x", attempt: fmt.Sprintf("%08x%08x", c+1, n+1),
					body: "order", deadline: deadline,
				})
				switch {
				case isPromise(a.status):
				case a.status == http.StatusOK:
					answered.Add(1)
				default:
					lost.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.freeze(freezeFor, readers...)
	}
	time.Sleep(50 * time.Millisecond)
	l.leave()
	group.Wait()
	s.record.printf("%d requests answered, %d lost, %d reached a searcher too late", answered.Load(), lost.Load(), l.late.Load())
	return int(l.late.Load()), nil
}

// freeze stops hosts for a while.
func (s *stage) freeze(span time.Duration, hosts ...*entryHost) {
	for _, h := range hosts {
		s.record.printf("%s freezes", h.name)
		h.signal(syscall.SIGSTOP)
	}
	time.AfterFunc(span, func() {
		for _, h := range hosts {
			s.record.printf("%s wakes", h.name)
			h.signal(syscall.SIGCONT)
		}
	})
}

// listReaders returns the hosts that call the store for the list of searchers within a time.
func (s *stage) listReaders(span time.Duration) []*entryHost {
	for _, h := range s.hosts {
		h.listCalls.Store(0)
	}
	time.Sleep(span)
	var out []*entryHost
	for _, h := range s.hosts {
		if h.listCalls.Load() > 0 {
			out = append(out, h)
		}
	}
	return out
}
