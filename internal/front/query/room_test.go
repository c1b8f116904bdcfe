package query

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/front/split"
)

// fakeRoom gives the delay until each shard has room; a negative one means that no searcher is available.
type fakeRoom []yuccahinge.Millis

func (r fakeRoom) RoomIn(_ yuccahinge.Millis, _ *yuccahinge.Index, s *yuccahinge.Shard) (yuccahinge.Millis, bool) {
	return max(r[s.ID], 0), r[s.ID] >= 0
}

// Pick picks the first replica of a shard with room.
func (r fakeRoom) Pick(_ yuccahinge.Millis, _ *yuccahinge.Index, s *yuccahinge.Shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	return s.Searchers[0], r[s.ID] == 0 && len(tried) == 0
}

// TestRequestsWithoutRoomAreRefusedAtOnce guards against requests that wait, or use up calls, although too few shards have a
// searcher with room under its maximum rate, and against a Retry-After at which there is no room yet.
func TestRequestsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		room       fakeRoom
		scattered  bool
		calls      int64
		missing    int
		retryAfter yuccahinge.Millis // zero for an answer
	}{
		"lookup with room":                    {room: fakeRoom{0}, calls: 1},
		"lookup without room":                 {room: fakeRoom{250}, retryAfter: 250},
		"all shards with room":                {room: fakeRoom{0, 0, 0, 0}, scattered: true, calls: 4},
		"enough shards with room":             {room: fakeRoom{0, 0, 0, 80}, scattered: true, calls: 3, missing: 1},
		"one shard too few":                   {room: fakeRoom{0, 0, 300, 80}, scattered: true, retryAfter: 80},
		"no shard with room":                  {room: fakeRoom{40, 10, 300, 80}, scattered: true, retryAfter: 80},
		"one without a searcher, one limited": {room: fakeRoom{0, 0, -1, 80}, scattered: true, retryAfter: 80},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				e := &Engine{
					Clock: clock.Clock{}, Room: c.room, Picker: c.room,
					Caller: caller(func(_ context.Context, _ yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
						calls.Add(1)
						res := ran(r)
						res.Reply.Response = &yuccahinge.HTTPResponse{Status: 200, Signature: "s"}
						return res
					}),
				}
				route := &yuccahinge.Route{RetrySafety: yuccahinge.Idempotent, ObjectiveMs: 80, Attempts: 2, Weighted: []yuccahinge.WeightedService{{Service: "one"}}}
				if c.scattered {
					route.Weighted, route.Shards, route.MinCoverage = nil, make([]yuccahinge.ServiceName, 4), 0.75
				}
				now := e.now()
				ix := index(1, len(c.room))
				answer, err := e.Forward(t.Context(), &ForwardRequest{Request: "r", Route: route, Index: &ix, Message: &yuccahinge.HTTPRequest{}, Arrived: now, Deadline: now + 400})
				if took := e.now() - now; took > 0 && c.retryAfter > 0 {
					t.Errorf("refused after %v ms, want at once", took)
				}
				time.Sleep(time.Second)
				if calls.Load() != c.calls {
					t.Errorf("%d calls, want %d", calls.Load(), c.calls)
				}
				if c.retryAfter == 0 {
					if err != nil || answer.Missing != c.missing {
						t.Errorf("%+v, %v, want an answer with %d missing", answer, err, c.missing)
					}
					return
				}
				var e2 *yuccahinge.Error
				if !errors.As(err, &e2) || e2.Outcome != yuccahinge.NotRun || e2.RetryAfterMs < c.retryAfter || e2.RetryAfterMs > maxRetrySpread*c.retryAfter {
					t.Errorf("%+v, want a refusal with a retry after %v ms or a little later", err, c.retryAfter)
				}
			})
		})
	}
}

// TestDelegatedShardsCountAsHavingRoom covers a request of which another host queries two shards: that host has parts of the
// rates there, which this host does not know.
func TestDelegatedShardsCountAsHavingRoom(t *testing.T) {
	q := &run{engine: &Engine{Room: fakeRoom{0, 0, 500, 500}}}
	ix := index(1, 4)
	q.index = &ix
	f := &ForwardRequest{Request: "r", Route: &yuccahinge.Route{MinCoverage: 1}}
	if wait := q.roomIn(1, f); wait != 500 {
		t.Errorf("room in %v ms, want 500 ms", wait)
	}
	q.delegatedParts = []part{{Part: split.Part{Shards: []int{2, 3}}}}
	if wait := q.roomIn(1, f); wait != 0 {
		t.Errorf("room in %v ms, want now", wait)
	}
	ix.Shards[3].Service = "limited"
	q.recordPartRoom(1, 0, &gather.PartResult{Lacking: []gather.LackingShard{{Shard: 1, RoomInMs: 70}, {Shard: 9, RoomInMs: 5}, {Shard: 0}}})
	if wait := q.roomIn(11, f); wait != 60 {
		t.Errorf("room in %v ms after the other host had none for another 60 ms", wait)
	}
	if err := q.checkRoom(72, f); err != nil {
		t.Errorf("%v once the other host has room", err)
	}
	if wait := q.roomIn(75, f); wait != 67 {
		t.Errorf("room in %v ms just after another request was sent there, want 67 ms", wait)
	}
	q.recordPartRoom(80, 0, &gather.PartResult{Lacking: []gather.LackingShard{{Shard: 1, RoomInMs: 70}}})
	if wait := q.roomIn(80, f); wait != 140 {
		t.Errorf("room in %v ms after the other host had none again, want twice 70 ms", wait)
	}
	if wait := q.roomIn(80+partRoomMs, f); wait != 0 {
		t.Errorf("room in %v ms a second after the other host had none", wait)
	}
}
