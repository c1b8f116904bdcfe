// Package hybrid provides a hybrid logical clock that orders events over processes.
package hybrid

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Clock issues stamps that grow on this host and, through Observe, along every message that it receives.
// The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last yuccahinge.Stamp
}

// Next returns a stamp above all stamps issued or observed before. The time now is in milliseconds;
// the stamp's wall part is in microseconds.
func (c *Clock) Next(now yuccahinge.Millis) yuccahinge.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := int64(now * 1000)
	if wall > c.last.Wall {
		c.last = yuccahinge.Stamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	return c.last
}

// Observe raises the clock to a stamp received from another host.
func (c *Clock) Observe(s yuccahinge.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
