// Package gate provides a gate that blocks the I/O of a stand-in while it is paused or partitioned.
package gate

import (
	"sync"
	"time"
)

// Gate blocks the callers of Wait while it is closed. The zero value is open. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; it is nil while the gate is open.
	opened chan struct{}
	timer  *time.Timer
}

// Close makes Wait block until Open is called. An earlier end time no longer applies.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// CloseFor makes Wait block for d, or until Open is called. An earlier end time no longer applies.
func (g *Gate) CloseFor(d time.Duration) {
	g.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(d, g.Open)
}

// Open unblocks all callers of Wait.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// Wait blocks until the gate is open and returns true, or returns false if done is closed first. An open gate returns
// true even if done is closed.
func (g *Gate) Wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return true
		}
		select {
		case <-opened:
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
