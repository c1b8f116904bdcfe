package query

import (
	"math"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/admit"
)

// maxRetrySpread is the largest factor by which the retry delay exceeds the time until there is room, so that the refused
// callers do not all return for the same call.
const maxRetrySpread = 2.0

// checkRoom refuses a request that can't be answered within the maximum rates of the searchers, before a call is spent
// on it.
func (q *run) checkRoom(now yuccahinge.Millis, f *ForwardRequest) error {
	if f.IsPart {
		return nil
	}
	wait := q.roomIn(now, f)
	if wait == 0 {
		return nil
	}
	return &yuccahinge.Error{
		Code:         yuccahinge.CodeUnavailable,
		Step:         yuccahinge.StepAdmit,
		Outcome:      yuccahinge.NotRun,
		Message:      "too few shards have a searcher with room under its maximum request rate",
		RetryAfterMs: spreadRetry(wait, f),
	}
}

// spreadRetry returns a retry delay of at least wait that differs between requests.
func spreadRetry(wait yuccahinge.Millis, f *ForwardRequest) yuccahinge.Millis {
	return wait * yuccahinge.Millis(1+(maxRetrySpread-1)*admit.HashUnit(f.Request+"again"))
}

// roomIn returns the delay until enough shards have room for an answer, zero if they have it now or none of those
// without room would have a searcher. Shards that other hosts query count as having room, since those hosts know.
func (q *run) roomIn(now yuccahinge.Millis, f *ForwardRequest) yuccahinge.Millis {
	e := q.engine
	if e.Room == nil {
		return 0
	}
	delegated := 0
	for _, part := range q.gather.Delegated {
		delegated += len(part)
	}
	isDelegated := func(i int) bool {
		return slices.ContainsFunc(q.gather.Delegated, func(part []int) bool { return slices.Contains(part, i) })
	}
	needed := max(1, int(math.Ceil(f.Route.MinCoverage*float64(len(q.index.Shards))))) - delegated
	var waits []yuccahinge.Millis
	for i := range q.index.Shards {
		if delegated > 0 && isDelegated(i) {
			continue
		}
		wait, ok := e.Room.RoomIn(now, q.index, &q.index.Shards[i])
		if !ok {
			continue
		}
		if wait == 0 {
			needed--
			continue
		}
		waits = append(waits, wait)
	}
	if needed <= 0 || needed > len(waits) {
		return 0
	}
	slices.Sort(waits)
	return waits[needed-1]
}
