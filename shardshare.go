package yuccahinge

import "math"

// ShardShare is a share of the shards of a request, 0 to 1, that an answer needs.
type ShardShare float64

// Of returns how many of n shards the share needs: the smallest number k with k/n not below the share, but at least one, since an
// answer that covers no shard says nothing.
func (s ShardShare) Of(n int) int {
	// The product may be rounded up or down.
	k := max(1, int(math.Ceil(float64(s)*float64(n))))
	switch {
	case k > 1 && float64(k-1)/float64(n) >= float64(s):
		return k - 1
	case float64(k)/float64(n) < float64(s):
		return k + 1
	default:
		return k
	}
}
