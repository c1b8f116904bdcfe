// Package hedge provides the delay before a late shard is asked a second time.
package hedge

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultQuantile is the share of attempts that end before their hedge is due.
	defaultQuantile = 0.97
	// defaultMin is the shortest delay.
	defaultMin yuccahinge.Millis = 1
)

// Hedge learns latencies per shard and answers with a quantile of them as the delay. It implements
// yuccahinge.Hedger and yuccahinge.Learner. The zero value is ready to use.
type Hedge struct {
	// Quantile is the share of attempts, 0 to 1, that end before their hedge is due.
	Quantile float64
	// MinMs is the shortest delay.
	MinMs yuccahinge.Millis

	shards sync.Map // of key to *histogram
}

type key struct {
	service yuccahinge.ServiceName
	shard   yuccahinge.ShardID
}

// Learn takes the time of an attempt.
func (h *Hedge) Learn(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID, took yuccahinge.Millis) {
	k := key{service, shard}
	v, ok := h.shards.Load(k)
	if !ok {
		v, _ = h.shards.LoadOrStore(k, new(histogram))
	}
	v.(*histogram).add(took, h.quantile())
}

// Delay returns the wait from the first attempt's start, or false while too little is known of the shard.
func (h *Hedge) Delay(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	v, ok := h.shards.Load(key{service, shard})
	if !ok {
		return 0, false
	}
	bits := v.(*histogram).cached.Load()
	if bits == 0 {
		return 0, false
	}
	return max(yuccahinge.Millis(math.Float64frombits(bits)), h.min()), true
}

func (h *Hedge) quantile() float64 {
	if h.Quantile > 0 {
		return h.Quantile
	}
	return defaultQuantile
}

func (h *Hedge) min() yuccahinge.Millis {
	if h.MinMs > 0 {
		return h.MinMs
	}
	return defaultMin
}
