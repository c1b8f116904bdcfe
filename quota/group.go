package quota

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// group counts the requests to one group and its extra attempts, in slices of the window.
type group struct {
	mu          sync.Mutex
	counts      [windowSlices + 1]sliceCount
	newestSlice int64 // number of the newest slice
}

// sliceCount counts the requests and extra attempts of one slice.
type sliceCount struct {
	requests int
	extra    int
	// credit is the number of extra attempts that the requests of the slice can still pay for, and fromSlack the number
	// that the slack paid for. Both may be fractions: an attempt may be paid from several slices and the slack.
	credit    float64
	fromSlack float64
}

// current returns the counter of the slice at the instant now and clears those that have left the window.
func (g *group) current(now, sliceMs yuccahinge.Millis) *sliceCount {
	n := int64(now / sliceMs)
	for i := max(g.newestSlice+1, n-windowSlices); i <= n; i++ {
		g.counts[i%(windowSlices+1)] = sliceCount{}
	}
	g.newestSlice = max(g.newestSlice, n)
	return g.slice(g.newestSlice)
}

func (g *group) slice(n int64) *sliceCount { return &g.counts[n%(windowSlices+1)] }

// earlier returns the counter of the slice at an earlier instant, or nil if it has left the window.
func (g *group) earlier(at, sliceMs yuccahinge.Millis) *sliceCount {
	n := int64(at / sliceMs)
	if n > g.newestSlice || n < g.newestSlice-windowSlices {
		return nil
	}
	return g.slice(n)
}

// windowTotals returns the requests of the newest slices that make up a window, and the extra attempts of those
// and of the older slice that the edge of the window cuts, in all and from the slack.
func (g *group) windowTotals() (requests, extra int, fromSlack float64) {
	for i := range g.counts {
		extra += g.counts[i].extra
		requests += g.counts[i].requests
		fromSlack += g.counts[i].fromSlack
	}
	oldest := (g.newestSlice + 1) % (windowSlices + 1)
	return requests - g.counts[oldest].requests, extra, fromSlack
}

// missingCredit returns what the credit that has not expired lacks for one extra attempt.
func (g *group) missingCredit() float64 {
	missing := 1.0
	for n := g.oldestCredit(); n <= g.newestSlice && missing > 0; n++ {
		missing -= min(g.slice(n).credit, missing)
	}
	return missing
}

// takeCredit takes credit for one extra attempt, or what is left of it, from the oldest slices first.
func (g *group) takeCredit() {
	missing := 1.0
	for n := g.oldestCredit(); n <= g.newestSlice && missing > 0; n++ {
		taken := min(g.slice(n).credit, missing)
		g.slice(n).credit -= taken
		missing -= taken
	}
}

// oldestCredit returns the number of the oldest slice whose credit has not expired.
func (g *group) oldestCredit() int64 { return max(0, g.newestSlice-creditSlices+1) }
