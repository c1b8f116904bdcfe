package query

import (
	"slices"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/front/admit"
)

// maxRetrySpread is the largest factor by which the retry delay exceeds the time until there is room, so that the refused
// callers do not all return for the same call.
const maxRetrySpread = 2.0

// maxRetrySpreadMs bounds the time that this adds.
const maxRetrySpreadMs = 1 * yuccahinge.Second

// partRoomMs is how long another host's want of room has an effect after it was last seen.
const partRoomMs = 1 * yuccahinge.Second

// partShard is a shard, by its service, that hosts of another failure domain query.
type partShard struct {
	domain  yuccahinge.DomainID
	service yuccahinge.ServiceName
}

// partRoom is what this host knows of the room of a partShard. It sends one request in each interval there, since requests
// that come together would find room for one of them. The interval doubles while that host has no room for them.
type partRoom struct {
	mu       sync.Mutex
	lackedAt yuccahinge.Millis // instant at which the other host last had no room
	interval yuccahinge.Millis
	nextAt   yuccahinge.Millis // instant from which the next request may be sent there
}

// roomIn returns the delay until the next request may be sent.
func (r *partRoom) roomIn(now yuccahinge.Millis) yuccahinge.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now >= r.lackedAt+partRoomMs {
		return 0
	}
	return max(0, r.nextAt-now)
}

// lacked records that the other host had no room and expects some after a delay.
func (r *partRoom) lacked(now, wait yuccahinge.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.lackedAt+partRoomMs {
		wait = max(wait, 2*r.interval)
	}
	r.interval = min(wait, partRoomMs/2)
	r.lackedAt, r.nextAt = now, now+r.interval
}

// sent records that a request is being sent.
func (r *partRoom) sent(now yuccahinge.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextAt = now + r.interval
}

// checkRoom refuses a request that can't be answered because of the maximum rates of searchers or because they want no
// calls for a time, before a call is spent on it.
func (q *run) checkRoom(now yuccahinge.Millis, f *ForwardRequest) error {
	if f.IsPart {
		return nil
	}
	wait := q.roomIn(now, f)
	if wait == 0 {
		q.countParts(now)
		return nil
	}
	return &yuccahinge.Error{
		Code:         yuccahinge.CodeUnavailable,
		Step:         yuccahinge.StepAdmit,
		Outcome:      yuccahinge.NotRun,
		Message:      "too few shards have a searcher that accepts a request now",
		RetryAfterMs: spreadRetry(wait, f),
	}
}

// spreadRetry returns a retry delay of at least wait that differs between requests.
func spreadRetry(wait yuccahinge.Millis, f *ForwardRequest) yuccahinge.Millis {
	return wait + min((maxRetrySpread-1)*wait, maxRetrySpreadMs)*yuccahinge.Millis(admit.HashUnit(f.Request+"again"))
}

// roomIn returns the delay until enough shards have room for an answer. It is zero if they have it now, and if too few
// shards have a searcher, which CanServe decides.
func (q *run) roomIn(now yuccahinge.Millis, f *ForwardRequest) yuccahinge.Millis {
	if q.engine.Room == nil {
		return 0
	}
	needed := f.Route.MinCoverage.Of(len(q.index.Shards))
	var waits []yuccahinge.Millis
	for i := range q.index.Shards {
		switch wait, ok := q.shardRoomIn(now, i); {
		case !ok:
		case wait > 0:
			waits = append(waits, wait)
		default:
			needed--
		}
	}
	if needed <= 0 || needed > len(waits) {
		return 0
	}
	slices.Sort(waits)
	return waits[needed-1]
}

// shardRoomIn returns the delay until a shard has room, or false if it has no searcher. A shard that another host queries
// has room unless that host has said otherwise.
func (q *run) shardRoomIn(now yuccahinge.Millis, i int) (yuccahinge.Millis, bool) {
	shard := &q.index.Shards[i]
	for n := range q.delegatedParts {
		part := &q.delegatedParts[n]
		if slices.Contains(part.Shards, i) {
			if v, ok := q.engine.partRooms.Load(partShard{part.Host.Domain, shard.Service}); ok {
				return v.(*partRoom).roomIn(now), true
			}
			return 0, true
		}
	}
	return q.engine.Room.RoomIn(now, q.index, shard)
}

// countParts records that the parts of the request are being sent.
func (q *run) countParts(now yuccahinge.Millis) {
	for n := range q.delegatedParts {
		part := &q.delegatedParts[n]
		for _, i := range part.Shards {
			if v, ok := q.engine.partRooms.Load(partShard{part.Host.Domain, q.index.Shards[i].Service}); ok {
				v.(*partRoom).sent(now)
			}
		}
	}
}

// recordPartRoom records which shards of a part its host could not call for want of room.
func (q *run) recordPartRoom(now yuccahinge.Millis, n int, r *gather.PartResult) {
	part := &q.delegatedParts[n]
	for _, l := range r.Lacking {
		if l.RoomInMs > 0 && l.Shard >= 0 && l.Shard < len(part.Shards) {
			key := partShard{part.Host.Domain, q.index.Shards[part.Shards[l.Shard]].Service}
			v, _ := q.engine.partRooms.LoadOrStore(key, new(partRoom))
			v.(*partRoom).lacked(now, l.RoomInMs)
		}
	}
}
