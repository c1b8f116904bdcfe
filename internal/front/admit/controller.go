// Package admit decides which requests a host admits while the searchers are overloaded.
//
// Each host observes the requests that it has admitted. While they use most of their time and meet queues at the
// searchers, it admits a smaller share; as they become faster, a larger one. Hosts that share the searchers see the same
// queues, so that no coordination between hosts is needed.
package admit

import (
	"hash/fnv"
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
	// minAdmittedRate is the least rate of admitted requests a second that is assumed for the time between two of them.
	minAdmittedRate = 0.7
	// A burst seems to be over if less than half of the requests that were expected in lullMs or longer arrive, by at least
	// minMissing. Each further one that is missing halves the refused share.
	lullMs     = 500.0
	minMissing = 2.0
	// admitAllShare is the share from which every request is admitted.
	admitAllShare = 0.98
	// maxRank is the rank of the least urgent requests. Priorities beyond it are treated alike.
	maxRank = 7
)

// Controller is the admission control of one host, with a share for each index. It implements yuccahinge.Admission. The
// zero value is ready to use and safe for concurrent use.
type Controller struct {
	states sync.Map // of uint64, an index's ServicesHash, to *indexState
	host   flow
	waits  sync.Map // of yuccahinge.RouteName to *wait
}

var _ yuccahinge.Admission = (*Controller)(nil)

// Admit implements yuccahinge.Admission. A request is admitted if a hash of its id is below the share of its class. A refused one
// that comes back would mostly be late and refused again, since requests that can be on time have precedence. So it is told to
// come back after its deadline.
func (c *Controller) Admit(now yuccahinge.Millis, r *yuccahinge.AdmissionRequest) yuccahinge.AdmissionDecision {
	if r.IsPart {
		return yuccahinge.AdmissionDecision{Admitted: true, AdmittedShare: c.state(r.Index).share(now, &c.host)}
	}
	share, classShare := c.state(r.Index).admit(now, class{rankOf(r.Priority), c.isLate(now, r)}, &c.host)
	c.host.add(now)
	if HashUnit(r.ID) < classShare {
		return yuccahinge.AdmissionDecision{Admitted: true, AdmittedShare: share}
	}
	return yuccahinge.AdmissionDecision{AdmittedShare: share, RetryAfterMs: r.RemainingMs}
}

// isLate reports whether a request can no longer be on time, because its caller has waited for longer than its objective.
func (c *Controller) isLate(now yuccahinge.Millis, r *yuccahinge.AdmissionRequest) bool {
	if r.ObjectiveMs <= 0 {
		return false
	}
	v, ok := c.waits.Load(r.Route)
	if !ok {
		v, _ = c.waits.LoadOrStore(r.Route, new(wait))
	}
	return v.(*wait).observe(now, r.RemainingMs) > r.ObjectiveMs
}

func rankOf(priority int) int { return min(max(priority, 0), maxRank) }

// RecordLoad implements yuccahinge.Admission.
func (c *Controller) RecordLoad(now yuccahinge.Millis, index uint64, load yuccahinge.RequestLoad) {
	c.state(index).updateShare(now, load, &c.host)
}

// MinShare returns the smallest admitted share of all indexes.
func (c *Controller) MinShare(now yuccahinge.Millis) float64 {
	smallest := 1.0
	c.states.Range(func(_, v any) bool {
		smallest = min(smallest, v.(*indexState).share(now, &c.host))
		return true
	})
	return smallest
}

// MinUrgentShare returns the smallest admitted share of the most urgent requests, over all indexes.
func (c *Controller) MinUrgentShare(now yuccahinge.Millis) float64 {
	smallest := 1.0
	c.states.Range(func(_, v any) bool {
		smallest = min(smallest, v.(*indexState).urgentShare(now, &c.host))
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
