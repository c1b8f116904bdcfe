package query

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
)

// TestWaitingAttemptsEndWithTheRequest checks that attempts that wait for a connection end with the request, although
// FinishHTTP1 lets sent attempts finish.
func TestWaitingAttemptsEndWithTheRequest(t *testing.T) {
	for name, disconnects := range map[string]bool{"answered": false, "caller disconnects": true} {
		synctest.Test(t, func(t *testing.T) {
			var ended atomic.Int64
			start := time.Now()
			e := &Engine{FinishHTTP1: true, Clock: clock.Clock{}, Caller: caller(func(_ context.Context, _ yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
				if r.Shard > 0 && !disconnects {
					res := ran(r)
					res.Reply.Response = &yuccahinge.HTTPResponse{Status: 200, Signature: "s"}
					return res
				}
				<-r.Abandoned
				ended.Store(int64(time.Since(start)))
				return yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: yuccahinge.ReasonShed}
			})}
			now := e.now()
			ix := index(1, 4)
			route := &yuccahinge.Route{Name: "wide", RetrySafety: yuccahinge.Idempotent, Shards: make([]yuccahinge.ServiceName, 4), MinCoverage: 0.5, ObjectiveMs: 80, Attempts: 2}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if disconnects {
				time.AfterFunc(20*time.Millisecond, cancel)
			}
			_, err := e.Forward(ctx, &ForwardRequest{Request: "r", Route: route, Index: &ix, Message: &yuccahinge.HTTPRequest{}, Arrived: now, CallerOneWayMs: 1, Deadline: now + 400})
			if (err != nil) != disconnects {
				t.Errorf("%s: %v", name, err)
			}
			synctest.Wait()
			if after := time.Duration(ended.Load()); after == 0 || after > 80*time.Millisecond {
				t.Errorf("%s: a waiting attempt ended after %v, want at most 80ms (0s means never)", name, after)
			}
			time.Sleep(time.Second)
		})
	}
}
