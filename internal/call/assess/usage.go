package assess

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// usageWeight is the weight of a new reply in the usage of an index.
	usageWeight = 0.01
	// mostReplies is the share of replies from searchers with frequent calls from which a host's calls to an index count as frequent.
	mostReplies = 0.5
	// lowLoad is the share of busy slots below which shares fall with the square of the speed: a request over many shards waits for the
	// slowest. With more load, the searchers that get these calls would queue instead (docs/design/capacity.md).
	lowLoad = 0.4
)

// usage is how much the searchers of an index are used, by this host and by all.
type usage struct {
	mu sync.Mutex
	// frequent is the share of the replies that come from searchers with frequent calls of this host.
	frequent float64
	// load is the mean of the running and queued calls that the searchers report, relative to their slots.
	load float64
}

// add records a reply, and whether its searcher has frequent calls of this host.
func (u *usage) add(frequent bool, report *yuccahinge.LoadReport, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	target := 0.0
	if frequent {
		target = 1
	}
	u.frequent += usageWeight * (target - u.frequent)
	u.load += usageWeight * (float64(report.Running+report.Queued)/float64(slots) - u.load)
}

// isFrequent reports whether this host calls the searchers of the index often.
func (u *usage) isFrequent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.frequent > mostReplies
}

// isLow reports whether the searchers of the index have little load.
func (u *usage) isLow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load < lowLoad
}
