// Package gate provides a gate that holds back work while a stand-in is frozen or cut off.
package gate

import (
	"sync"
	"time"
)

// Gate holds its callers back while it is shut. The zero value is open.
type Gate struct {
	mu    sync.Mutex
	open  chan struct{}
	timer *time.Timer
}

// Shut closes the gate until Open.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

// ShutFor closes the gate for the duration d.
func (g *Gate) ShutFor(d time.Duration) {
	g.Shut()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(d, g.Open)
}

// Open lets all waiting callers pass.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// Wait returns true when the gate is open, or false when done ends first.
func (g *Gate) Wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		if open == nil {
			return true
		}
		select {
		case <-open:
		case <-done:
			return false
		}
	}
}

func (g *Gate) stopTimer() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
}
