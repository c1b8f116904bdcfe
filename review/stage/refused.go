package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// refused has one searcher of seven fail two of five of the requests that it has run: with status 503, its signature and no
// Yuccahinge-Not-Run. The requests are not idempotent. A client that gets a promise sends its order again in a new attempt.
func refused(s *stage) (int, error) {
	const (
		searchers = 7
		clients   = 6
		orders    = 1200
	)
	s.store.PutConfig(1, []store.Route{
		{Name: "pay", Host: clientName, Prefix: "/pay/", AtMostOnce: true, Service: "billing", TimeoutMs: 2000, ObjectiveMs: 400, Attempts: 2},
	}, []string{"billing"}, 44, 262144)
	for i := range searchers {
		q := &searcher{id: fmt.Sprint("i-", i+1), service: "billing", zone: fmt.Sprint("z", i%3+1), work: 20 * time.Millisecond}
		if i == 0 && s.trouble {
			q.answer = failing(q)
		}
		if err := s.startSearcher(q); err != nil {
			return 0, err
		}
	}
	if err := s.startHosts(3, "z1", "z2", "z3"); err != nil {
		return 0, err
	}
	c := &orderClients{stage: s}
	var group sync.WaitGroup
	for first := range clients {
		group.Go(func() {
			for i := first; i < orders; i += clients {
				c.place(i + 1)
			}
		})
	}
	group.Wait()
	s.record.printf("%d of %d orders have run twice", c.doubled.Load(), orders)
	return int(c.broken.Load()), nil
}

// orderClients are clients that place orders.
type orderClients struct {
	stage *stage
	// broken counts the attempts that ran in spite of a promise, and doubled the orders that ran more than once.
	broken, doubled atomic.Int64
}

// place places an order. A promise that it has not run is followed by one more attempt.
func (c *orderClients) place(order int) {
	s, runs := c.stage, 0
	for try := range 2 {
		attempt := fmt.Sprintf("%012x%04x", order, try)
		a := s.send(&request{
			host: s.hosts[(order+try)%len(s.hosts)], method: http.MethodPost, target: fmt.Sprint("/pay/", order), attempt: attempt,
			body: fmt.Sprint("order ", order), deadline: 2 * time.Second,
		})
		ran := s.record.ranOn(attempt)
		runs += len(ran)
		if !isPromise(a.status) {
			break
		}
		if len(ran) > 0 {
			c.broken.Add(1)
			s.record.printf("REFUSED: attempt %s of order %d was answered %d and has run on %v", attempt, order, a.status, ran)
		}
	}
	if runs > 1 {
		c.doubled.Add(1)
		s.record.printf("order %d has run %d times", order, runs)
	}
}

// failing returns the answer function of a searcher that fails two of five requests after it has run them.
func failing(q *searcher) func(http.ResponseWriter, *http.Request, string) bool {
	var n atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request, attempt string) bool {
		if n.Add(1)%5 > 1 {
			return false
		}
		w.Header().Set(headerStamp, stamp(q.id, attempt))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
}
