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
	// wholeFactor bounds the delay of a shard as a multiple of its service's.
	wholeFactor = 1.5
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

// key names a shard, or with whole all shards of a service together.
type key struct {
	service yuccahinge.ServiceName
	shard   yuccahinge.ShardID
	whole   bool
}

// Learn takes the time of an attempt.
func (h *Hedge) Learn(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID, took yuccahinge.Millis) {
	h.histogram(key{service: service, shard: shard}).add(took, h.quantile())
	h.histogram(key{service: service, whole: true}).add(took, h.quantile())
}

// Delay returns the wait from the first attempt's start, or false while too little is known of the service.
// A shard that is slow because calls queue behind a straggler is measured against the whole service, or its
// hedges would come too late to end the queue.
func (h *Hedge) Delay(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	whole, ok := h.known(key{service: service, whole: true})
	if !ok {
		return 0, false
	}
	own, ok := h.known(key{service: service, shard: shard})
	if !ok {
		own = whole
	}
	return max(min(own, whole*wholeFactor), h.min()), true
}

func (h *Hedge) known(k key) (yuccahinge.Millis, bool) {
	v, ok := h.shards.Load(k)
	if !ok {
		return 0, false
	}
	bits := v.(*histogram).cached.Load()
	return yuccahinge.Millis(math.Float64frombits(bits)), bits != 0
}

func (h *Hedge) histogram(k key) *histogram {
	v, ok := h.shards.Load(k)
	if !ok {
		v, _ = h.shards.LoadOrStore(k, new(histogram))
	}
	return v.(*histogram)
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
