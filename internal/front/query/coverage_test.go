package query

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/gather"
)

// delayedCaller answers the requests to each shard after a delay of its own with an empty body, and never if it is negative.
func delayedCaller(delays ...time.Duration) caller {
	return func(ctx context.Context, _ yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
		if delay := delays[r.Shard]; delay >= 0 {
			time.Sleep(delay * time.Millisecond)
			res := ran(r)
			res.Reply.Response = &yuccahinge.HTTPResponse{Status: 200, Signature: "s"}
			return res
		}
		<-ctx.Done()
		return yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonTimeout, MayStillRun: true}
	}
}

// TestAnswerNeedsAShard guards against a success that covers no shard, on a route that needs no particular share of them, while
// searchers are silent or slow, and against one that is refused though searchers answered with an empty result.
func TestAnswerNeedsAShard(t *testing.T) {
	const objective, deadline = 80, 400
	for name, c := range map[string]struct {
		share     yuccahinge.ShardShare
		delays    []time.Duration
		delegates bool // the last two of four shards to a host that has no reply
		covered   int
		tookMs    yuccahinge.Millis // at least
	}{
		"silent":                             {delays: []time.Duration{-1}},
		"silent, tiny share":                 {share: 0.01, delays: []time.Duration{-1}},
		"slow":                               {delays: []time.Duration{150}, covered: 1, tookMs: 150},
		"one of four, slow":                  {delays: []time.Duration{-1, 120, -1, -1}, covered: 1, tookMs: 120},
		"one of four on time":                {delays: []time.Duration{-1, 10, -1, -1}, covered: 1, tookMs: 70},
		"empty results":                      {delays: []time.Duration{10, 10, 10, 10}, covered: 4, tookMs: 10},
		"empty part":                         {delays: []time.Duration{-1, -1, -1, -1}, delegates: true},
		"empty part, other shards have more": {delays: []time.Duration{10, -1, -1, -1}, delegates: true, covered: 1, tookMs: 70},
		"0.56 of 25":                         {share: 0.56, delays: append(make([]time.Duration, 14), -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1), covered: 14, tookMs: 70},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Engine{Clock: clock.Clock{}, FinishHTTP1: true, Caller: delayedCaller(c.delays...)}
				if c.delegates {
					e.Delegator = &fakeDelegator{query: func(context.Context) (*ForwardAnswer, error) {
						time.Sleep(60 * time.Millisecond)
						return &ForwardAnswer{Missing: 2, PartResult: &gather.PartResult{Lacking: []gather.LackingShard{{Shard: 0}, {Shard: 1}}}}, nil
					}}
				}
				ix := index(1, len(c.delays))
				route := &yuccahinge.Route{
					RetrySafety: yuccahinge.Idempotent, Shards: make([]yuccahinge.ServiceName, len(c.delays)), MaxRecords: 2,
					ObjectiveMs: objective, Attempts: 2, MinCoverage: c.share,
				}
				now := e.now()
				got, err := e.Forward(t.Context(), &ForwardRequest{Request: "r", Route: route, Index: &ix, Message: &yuccahinge.HTTPRequest{}, Arrived: now, Deadline: now + deadline})
				took := e.now() - now
				time.Sleep(time.Second)
				if (err == nil) != (c.covered > 0) {
					t.Fatalf("%+v, %v", got, err)
				}
				if err == nil && (len(got.Signatures) != c.covered || got.Missing != len(c.delays)-c.covered || took < c.tookMs) {
					t.Errorf("%d signatures, %d missing after %g ms", len(got.Signatures), got.Missing, took)
				}
				if code(err) == yuccahinge.CodeDeadline && took < deadline-10 {
					t.Errorf("failed after %g ms of %d", took, deadline)
				}
			})
		})
	}
}

// TestSearchWaitsForAShard guards against a search that ends without any shard at its soft deadline while time is left.
func TestSearchWaitsForAShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &yuccahinge.Service{Index: index(1, 2), Preference: yuccahinge.PreferLatency, SoftDeadlineMs: 50}
		e := &Engine{Clock: clock.Clock{}, States: serviceState(s), Caller: delayedCaller(150, -1)}
		if a, err := search(e, `"q"`); err != nil || len(a.Coverage.Covered) != 1 || len(a.Coverage.Lacking) != 1 {
			t.Errorf("%+v, %v", a, err)
		}
		time.Sleep(time.Second)
	})
}
