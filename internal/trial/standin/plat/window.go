package plat

import (
	"sync"
	"time"
)

// callsPerSecond is the platform's budget over all readers.
const callsPerSecond = 2000

// window counts the calls of each second.
type window struct {
	mu     sync.Mutex
	second int64
	count  int
	most   int
}

// take counts one call and reports whether it is within the budget.
func (w *window) take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	w.most = max(w.most, w.count)
	return w.count <= callsPerSecond
}

func (w *window) peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}
