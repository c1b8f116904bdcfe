package cfgsvc

import (
	"sync"
	"time"
)

// callsPerSecond is the platform's rate limit for all readers together.
const callsPerSecond = 2000

// fixedWindow is a rate limiter that counts the calls of each second; calls above the limit count as well.
type fixedWindow struct {
	mu       sync.Mutex
	second   int64
	count    int
	maxCount int
}

// allow counts one call and reports whether it is within the budget.
func (w *fixedWindow) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	w.maxCount = max(w.maxCount, w.count)
	return w.count <= callsPerSecond
}

// peak returns the highest count of any second.
func (w *fixedWindow) peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxCount
}
