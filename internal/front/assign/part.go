package assign

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/front/split"
)

const (
	// partReturnMs is the time to return a part from another failure domain, to decode it and to merge it here.
	partReturnMs yuccahinge.Millis = 8
	// partTimeoutShare is the fraction of the time between the due time and the deadline after which the shards
	// delegated to a host are considered lost. The request then fails early enough for its caller to retry.
	partTimeoutShare = 0.5
)

var _ query.Delegator = (*Assigner)(nil)

// Split implements query.Delegator.
func (a *Assigner) Split(f *query.ForwardRequest) []split.Part {
	now := a.Clock.Now()
	s := split.Splitter{Domain: a.Selector.Self.Domain}
	return s.Parts(f.Index, string(f.Request), func(d yuccahinge.DomainID) (yuccahinge.Member, bool) {
		if a.IsCut != nil && a.IsCut(now, d) {
			return yuccahinge.Member{}, false
		}
		return a.Selector.RemoteHost(now, a.Membership.Members(), d, string(f.Request))
	})
}

// Query implements query.Delegator.
func (a *Assigner) Query(ctx context.Context, f *query.ForwardRequest, p *split.Part) (*query.ForwardAnswer, error) {
	now := a.Clock.Now()
	due := a.Engine.AnswerBy(f)
	r := newRequest(f, now, due-partReturnMs)
	r.Shards = p.Shards
	r.From = yuccahinge.HostID(a.Selector.Self.ID)
	r.MinCoverage = minPartShare(f, len(p.Shards))
	start := max(due, now)
	answer, err := a.call(ctx, &p.Host, MethodPart, r, due, start+partTimeoutShare*max(0, f.Deadline-start))
	if errors.Is(err, errNotRun) {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepForward, Peer: p.Host.ID, Message: "the host did not run its part", Outcome: yuccahinge.NotRun, Err: err}
	}
	return answer, err
}

// minPartShare returns the share of a part's shards that the answer needs even if all shards outside the part reply.
func minPartShare(f *query.ForwardRequest, shards int) yuccahinge.ShardShare {
	n := len(f.Index.Shards)
	spare := n - f.Route.MinCoverage.Of(n)
	return yuccahinge.ShardShare(max(0, shards-spare)) / yuccahinge.ShardShare(shards)
}

// subsetIndex returns a copy of ix with the shards at the given positions, or nil if a position is out of range.
func subsetIndex(ix *yuccahinge.Index, shards []int) *yuccahinge.Index {
	out := *ix
	out.Shards = make([]yuccahinge.Shard, len(shards))
	for n, i := range shards {
		if i < 0 || i >= len(ix.Shards) {
			return nil
		}
		out.Shards[n] = ix.Shards[i]
	}
	return &out
}
