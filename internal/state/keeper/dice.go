package keeper

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// dice draws the jitter of the timers.
type dice struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (d *dice) seed(seed uint64, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rand = rand.New(rand.NewPCG(seed, xxhash.Sum64String("timer/"+host)))
}

// jitter returns the span with up to a quarter of it added or taken away.
func (d *dice) jitter(span yuccahinge.Millis) yuccahinge.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rand == nil {
		return span
	}
	return span * yuccahinge.Millis(0.75+d.rand.Float64()/2)
}

func bitsOf(m yuccahinge.Millis) uint64 { return math.Float64bits(float64(m)) }

func millisOf(bits uint64) yuccahinge.Millis { return yuccahinge.Millis(math.Float64frombits(bits)) }
