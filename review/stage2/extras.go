package main

import (
	"math/rand/v2"
	"sync"
)

// extras makes a searcher send a second answer to some requests, late: at the point where the next response is expected, when the next
// request has arrived on the connection. It is safe for concurrent use.
type extras struct {
	mu    sync.Mutex
	rand  *rand.Rand
	late  map[*searcherConn][]byte
	count int
	ended bool
}

func newExtras(seed uint64) *extras {
	return &extras{rand: rand.New(rand.NewPCG(seed, 1)), late: make(map[*searcherConn][]byte)}
}

// end ends the choice of further answers.
func (e *extras) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}

// sentLate returns the number of second answers that were sent.
func (e *extras) sentLate() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

// answered is called with each answer that was sent.
func (e *extras) answered(c *searcherConn, text []byte) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended && e.rand.Float64() < extraShare {
		e.late[c] = text
	}
}

// arrived is called when a request has arrived, before it is handled.
func (e *extras) arrived(c *searcherConn, a *arrival) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text, ok := e.late[c]
	if !ok {
		return
	}
	delete(e.late, c)
	e.count++
	_, _ = c.Write(text) // fails only if the caller has disconnected
	a.searcher.record.add("%s sends a second answer on the connection on which %s %s has arrived: %q", a.searcher.ID, a.id, a.URL.Path, text[:min(len(text), 60)])
}
