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

// fakeDelegator delegates the last two of four shards to another host.
type fakeDelegator struct {
	query func(ctx context.Context) (*ForwardAnswer, error)
}

func (d *fakeDelegator) Split(*ForwardRequest) []split.Part {
	return []split.Part{{Host: yuccahinge.Member{ID: "other"}, Shards: []int{2, 3}}}
}

func (d *fakeDelegator) Query(ctx context.Context, _ *ForwardRequest, _ *split.Part) (*ForwardAnswer, error) {
	return d.query(ctx)
}

func (d *fakeDelegator) MayReportLoss(context.Context, yuccahinge.HostID, *PartLoss) (bool, error) {
	return false, nil
}

// TestDelegatedPartsAreMergedRetriedOrReclaimed forwards a request to four shards, of which another host
// queries two.
func TestDelegatedPartsAreMergedRetriedOrReclaimed(t *testing.T) {
	record := func(b byte) []byte {
		r := make([]byte, 16)
		r[0] = b
		return r
	}
	for name, c := range map[string]struct {
		answer  *ForwardAnswer
		err     error
		here    int64 // calls made by this host
		missing int
		fails   bool
	}{
		"whole": {answer: &ForwardAnswer{Records: record(9), Signatures: []string{"x", "y"}, PartResult: &gather.PartResult{}}, here: 2},
		"one shard lacking, retried by this host": {
			answer: &ForwardAnswer{Records: record(9), Signatures: []string{"x"}, Missing: 1, PartResult: &gather.PartResult{Lacking: []gather.LackingShard{{Shard: 0, Tried: []yuccahinge.SearcherID{"s2-0"}}}}},
			here:   3,
		},
		"not run": {err: &yuccahinge.Error{Outcome: yuccahinge.NotRun}, here: 4},
		"lost":    {err: errors.New("reset"), here: 2, fails: true},
		// This host has not heard yet that the request crashes searchers.
		"quarantined at the other host": {err: &yuccahinge.Error{Code: yuccahinge.CodePoisoned, Outcome: yuccahinge.NotRun}, here: 2, fails: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var calls atomic.Int64
			e := &Engine{
				FinishHTTP1: true, Clock: clock.Clock{},
				Delegator: &fakeDelegator{query: func(context.Context) (*ForwardAnswer, error) {
					time.Sleep(5 * time.Millisecond)
					return c.answer, c.err
				}},
				Caller: caller(func(_ context.Context, _ yuccahinge.SearcherID, r *yuccahinge.ShardRequest) yuccahinge.ShardResult {
					calls.Add(1)
					time.Sleep(10 * time.Millisecond)
					res := ran(r)
					res.Reply.Response = &yuccahinge.HTTPResponse{Status: 200, Signature: "s", Body: record(byte(r.Shard))}
					return res
				}),
			}
			now := e.now()
			ix := index(1, 4)
			route := &yuccahinge.Route{Name: "wide", RetrySafety: yuccahinge.Idempotent, Shards: make([]yuccahinge.ServiceName, 4), MaxRecords: 2, MinCoverage: 0.75, ObjectiveMs: 80, Attempts: 2}
			got, err := e.Forward(t.Context(), &ForwardRequest{Request: "r", Route: route, Index: &ix, Message: &yuccahinge.HTTPRequest{}, Arrived: now, CallerOneWayMs: 1, Deadline: now + 400})
			time.Sleep(time.Second)
			if (err != nil) != c.fails || calls.Load() != c.here {
				t.Errorf("%s: %v after %d calls by this host, want %d", name, err, calls.Load(), c.here)
			}
			if err == nil && (got.Missing != c.missing || len(got.Signatures) != 4-c.missing) {
				t.Errorf("%s: %d missing, signatures %v", name, got.Missing, got.Signatures)
			}
			if c.answer != nil && got.Records[0] != 9 {
				t.Errorf("%s: the greatest record is %d", name, got.Records[0])
			}
		})
	}
}

// TestNoDelegationWhileSearchersAreFull checks that this host queries all shards while the admission refuses requests.
func TestNoDelegationWhileSearchersAreFull(t *testing.T) {
	q := &run{engine: &Engine{Delegator: &fakeDelegator{}}, searchersFull: true}
	q.delegate(&ForwardRequest{Route: &yuccahinge.Route{Shards: make([]yuccahinge.ServiceName, 4)}})
	if len(q.delegatedParts) != 0 {
		t.Errorf("%+v", q.delegatedParts)
	}
}

// TestNoPartIsSentForARequestThatHasEnded guards against a part that another host runs after the request was answered as not
// run: no shard of this host has a searcher that may be called, so that the coverage can't be reached.
func TestNoPartIsSentForARequestThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var parts atomic.Int64
		e := &Engine{
			Clock: clock.Clock{}, Picker: noPicker{},
			Delegator: &fakeDelegator{query: func(context.Context) (*ForwardAnswer, error) {
				parts.Add(1)
				return &ForwardAnswer{PartResult: &gather.PartResult{}}, nil
			}},
		}
		now := e.now()
		ix := index(1, 4)
		route := &yuccahinge.Route{RetrySafety: yuccahinge.Idempotent, Shards: make([]yuccahinge.ServiceName, 4), MinCoverage: 0.75, ObjectiveMs: 80, Attempts: 2}
		_, err := e.Forward(t.Context(), &ForwardRequest{Request: "r", Route: route, Index: &ix, Message: &yuccahinge.HTTPRequest{}, Arrived: now, Deadline: now + 400})
		time.Sleep(time.Second)
		var failure *yuccahinge.Error
		if !errors.As(err, &failure) || failure.Outcome != yuccahinge.NotRun || parts.Load() > 0 {
			t.Errorf("%v after %d parts, want a refusal and no part", err, parts.Load())
		}
	})
}

// noPicker finds no searcher.
type noPicker struct{}

func (noPicker) Pick(yuccahinge.Millis, *yuccahinge.Index, *yuccahinge.Shard, []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	return "", false
}
