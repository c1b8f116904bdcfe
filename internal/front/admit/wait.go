package admit

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// waitHalfLifeMs is the half-life of the longest time that the callers of a route wait, so that a shorter one is adopted after
// a change of the route.
const waitHalfLifeMs = 60 * yuccahinge.Second

// wait is the longest time that the callers of one route wait. A request with less time left has spent the rest of it, since
// callers that come back keep their deadline.
type wait struct {
	mu      sync.Mutex
	longest yuccahinge.Millis
	at      yuccahinge.Millis
}

// observe records the time left of a request and returns the time that its caller has already waited. A time left that is not
// finite is ignored.
func (w *wait) observe(now, remaining yuccahinge.Millis) yuccahinge.Millis {
	if left := float64(remaining); math.IsNaN(left) || math.IsInf(left, 0) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := w.longest * yuccahinge.Millis(math.Exp2(-float64(max(0, now-w.at)/waitHalfLifeMs)))
	w.longest, w.at = max(longest, remaining), max(w.at, now)
	return w.longest - remaining
}
