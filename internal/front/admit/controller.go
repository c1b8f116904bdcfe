// Package admit decides which requests a host admits while the searchers are overloaded.
//
// Each host observes the requests that it has admitted. While they use most of their time and meet queues at the
// searchers, it admits a smaller share; as they become faster, a larger one. Hosts that share the searchers see the same
// queues, so that no coordination between hosts is needed.
package admit

import (
	"hash/fnv"
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/calc/mixer"
)

const (
	// targetTimeUsed is the share of its time that a request should take. The rest allows for the spread of latencies.
	targetTimeUsed = 0.6
	// minQueued is the share of a request's attempts that must be queued or refused for its lateness to count as
	// overload. Slow or lost searchers make requests late as well, but refusing other requests does not help then.
	minQueued = 0.15
	// maxQueued is the target for the share of attempts that are queued or refused. Above it, queues grow faster than
	// throughput.
	maxQueued = 0.75
	// queueWeight multiplies the step that follows from the share of queued or refused attempts. If that step is smaller
	// than the one that follows from the time used, it replaces it. Queues are ignored for requests that take at most
	// half of targetTimeUsed.
	queueWeight = 2.0
	// adaptMs is the time in which the admitted share adapts to a change, about the duration of a few requests.
	adaptMs = 500.0
	// maxGain limits the weight of one request on a host that gets few of them.
	maxGain = 0.5
	// minStep and maxStep bound the change of the share's logarithm by one request, before it is multiplied by the gain.
	minStep, maxStep = -1.0, 0.5
	// tooManyRefusedStep is the change of the share's logarithm after a request that failed or was late, and of which too
	// many shards refused an attempt. It outweighs several requests on time, since a failed request costs the searchers
	// as much as a successful one.
	tooManyRefusedStep = -5.0
	// unqueuedStep is the change of the share's logarithm after a request of which few attempts were queued, which shows
	// spare capacity.
	unqueuedStep = 2.0
	// minFactor is the smallest factor by which one request can reduce the share.
	minFactor = 0.5
	// minShare is the smallest share. It keeps some requests coming, which measure the load of the searchers.
	minShare = 0.02
	// After idleMs in which no admitted request ended, the refused share decays with a half-life of refusedHalfLifeMs.
	idleMs            = 1000.0
	refusedHalfLifeMs = 1000.0
	// admitAllShare is the share from which every request is admitted.
	admitAllShare = 0.98
	// rankFactor multiplies the share once for each rank below the most urgent one.
	rankFactor = 0.9
	// maxRank is the rank of the least urgent requests. Priorities beyond it are treated alike.
	maxRank = 2
)

// Controller is the admission control of one host, with a share for each index. It implements yuccahinge.Admission. The
// zero value is ready to use and safe for concurrent use.
type Controller struct {
	states sync.Map // of uint64, an index's ServicesHash, to *indexState
}

var _ yuccahinge.Admission = (*Controller)(nil)

// Admit implements yuccahinge.Admission. The decision depends on the request's id, the share and the priority only.
func (c *Controller) Admit(now yuccahinge.Millis, index uint64, id yuccahinge.RequestID, priority int) yuccahinge.AdmissionDecision {
	share := c.state(index).share(now)
	decision := yuccahinge.AdmissionDecision{Admitted: true, AdmittedShare: share}
	if share >= admitAllShare {
		return decision
	}
	rank := min(max(priority-1, 0), maxRank)
	decision.Admitted = HashUnit(id) < share*math.Pow(rankFactor, float64(rank))
	return decision
}

// RecordLoad implements yuccahinge.Admission.
func (c *Controller) RecordLoad(now yuccahinge.Millis, index uint64, load yuccahinge.RequestLoad) {
	c.state(index).updateShare(now, load)
}

// MinShare returns the smallest admitted share of all indexes.
func (c *Controller) MinShare(now yuccahinge.Millis) float64 {
	smallest := 1.0
	c.states.Range(func(_, v any) bool {
		smallest = min(smallest, v.(*indexState).share(now))
		return true
	})
	return smallest
}

// HashUnit hashes a request's id to a number from 0 to 1, exclusive.
func HashUnit(id yuccahinge.RequestID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV gives similar ids similar hashes, so the bits are mixed.
	return mixer.Float64(h.Sum64())
}

func (c *Controller) state(index uint64) *indexState {
	if v, ok := c.states.Load(index); ok {
		return v.(*indexState)
	}
	v, _ := c.states.LoadOrStore(index, new(indexState))
	return v.(*indexState)
}
