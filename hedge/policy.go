// Package hedge computes the delay before a hedge from the latencies of earlier attempts.
package hedge

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultQuantile is the share of attempts that end before their hedge is due, if Quantile is zero.
	defaultQuantile = 0.97
	// defaultMin is the shortest delay before a hedge if MinMs is zero.
	defaultMin yuccahinge.Millis = 1
	// maxServiceFactor limits the delay of a shard to this multiple of the delay of its whole service.
	maxServiceFactor = 1.5
)

// Policy keeps a latency histogram for each shard and returns a quantile of it as the hedge delay. It implements
// yuccahinge.Hedger and yuccahinge.LatencyRecorder. The zero value is ready to use.
type Policy struct {
	// Quantile is the share of attempts, 0 to 1, that end before their hedge is due; zero means 0.97.
	Quantile float64
	// MinMs is the shortest delay before a hedge; zero means 1 ms.
	MinMs yuccahinge.Millis

	histograms sync.Map // of key to *histogram
}

// key identifies the histogram of one shard, or with allShards that of a whole service.
type key struct {
	service   yuccahinge.ServiceName
	shard     yuccahinge.ShardID
	allShards bool
}

// RecordLatency records the latency of an attempt.
func (p *Policy) RecordLatency(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID, took yuccahinge.Millis) {
	p.histogram(key{service: service, shard: shard}).add(took, p.quantile())
	p.histogram(key{service: service, allShards: true}).add(took, p.quantile())
}

// Delay returns the delay after the start of the first attempt, or false while there are too few samples of the
// service. The delay of a shard is limited by that of the whole service: if calls queue behind a straggler, the
// shard's own latencies are so high that hedges would come too late to clear the queue.
func (p *Policy) Delay(_ yuccahinge.Millis, service yuccahinge.ServiceName, shard yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	overall, ok := p.cachedDelay(key{service: service, allShards: true})
	if !ok {
		return 0, false
	}
	own, ok := p.cachedDelay(key{service: service, shard: shard})
	if !ok {
		own = overall
	}
	return max(min(own, overall*maxServiceFactor), p.minDelay()), true
}

func (p *Policy) cachedDelay(k key) (yuccahinge.Millis, bool) {
	v, ok := p.histograms.Load(k)
	if !ok {
		return 0, false
	}
	bits := v.(*histogram).cachedDelay.Load()
	return yuccahinge.Millis(math.Float64frombits(bits)), bits != 0
}

func (p *Policy) histogram(k key) *histogram {
	v, ok := p.histograms.Load(k)
	if !ok {
		v, _ = p.histograms.LoadOrStore(k, new(histogram))
	}
	return v.(*histogram)
}

func (p *Policy) quantile() float64 {
	if p.Quantile > 0 {
		return p.Quantile
	}
	return defaultQuantile
}

func (p *Policy) minDelay() yuccahinge.Millis {
	if p.MinMs > 0 {
		return p.MinMs
	}
	return defaultMin
}
