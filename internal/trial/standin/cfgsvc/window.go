package cfgsvc

import (
	"sync"
	"time"
)

// readBudgetPerSecond is the number of reads per second that the platform allows to all hosts together.
const readBudgetPerSecond = 2000

// fixedWindow is a rate limiter that counts the reads of each second; reads above the limit count as well.
type fixedWindow struct {
	mu       sync.Mutex
	second   int64
	count    int
	maxCount int
}

// allow counts one read and reports whether it is within the budget.
func (w *fixedWindow) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	w.maxCount = max(w.maxCount, w.count)
	return w.count <= readBudgetPerSecond
}

// peak returns the highest count of any second.
func (w *fixedWindow) peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxCount
}
