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
}

// current returns the counter of the slice at the instant now and clears those that have left the window.
func (g *group) current(now, sliceMs yuccahinge.Millis) *sliceCount {
	n := int64(now / sliceMs)
	for i := max(g.newestSlice+1, n-windowSlices); i <= n; i++ {
		g.counts[i%(windowSlices+1)] = sliceCount{}
	}
	g.newestSlice = max(g.newestSlice, n)
	return &g.counts[g.newestSlice%(windowSlices+1)]
}

// earlier returns the counter of the slice at an earlier instant, or nil if it has left the window.
func (g *group) earlier(at, sliceMs yuccahinge.Millis) *sliceCount {
	n := int64(at / sliceMs)
	if n > g.newestSlice || n < g.newestSlice-windowSlices {
		return nil
	}
	return &g.counts[n%(windowSlices+1)]
}

// windowTotals returns the requests of the newest slices that make up a window, and the extra attempts of those
// and of the older slice that the edge of the window cuts.
func (g *group) windowTotals() (requests, extra int) {
	for i := range g.counts {
		extra += g.counts[i].extra
		requests += g.counts[i].requests
	}
	oldest := (g.newestSlice + 1) % (windowSlices + 1)
	return requests - g.counts[oldest].requests, extra
}
