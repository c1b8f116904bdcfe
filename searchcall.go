package yuccahinge

import "context"

// ShardCaller sends attempts to searchers.
type ShardCaller interface {
	// Query sends one attempt and checks that the reply echoes its ids. It returns when the attempt has ended.
	Query(ctx context.Context, id SearcherID, s *Searcher, r *ShardRequest) ShardResult
}

// ChargeCaller sends charges to searchers. It never sends a charge twice.
type ChargeCaller interface {
	Charge(ctx context.Context, id SearcherID, s *Searcher, c *ChargeCall) ChargeResult
}
