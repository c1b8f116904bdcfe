package syncer

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// jitterRand is the random source of the timers' jitter. It is safe for concurrent use.
type jitterRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (j *jitterRand) seed(seed uint64, host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rand = rand.New(rand.NewPCG(seed, xxhash.Sum64String("timer/"+host)))
}

// jitter returns span changed by up to a quarter in either direction.
func (j *jitterRand) jitter(span yuccahinge.Millis) yuccahinge.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.rand == nil {
		return span
	}
	return span * yuccahinge.Millis(0.75+j.rand.Float64()/2)
}

func bitsOf(m yuccahinge.Millis) uint64 { return math.Float64bits(float64(m)) }

func millisOf(bits uint64) yuccahinge.Millis { return yuccahinge.Millis(math.Float64frombits(bits)) }
