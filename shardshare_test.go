package yuccahinge

import "testing"

// TestShardShareOf guards against an answer without any shard, and against one shard more than the share because of a rounding error.
func TestShardShareOf(t *testing.T) {
	for n := 1; n <= 500; n++ {
		for hundredths := 0; hundredths <= 100; hundredths++ {
			want := max(1, (hundredths*n+99)/100)
			if got := ShardShare(float64(hundredths) / 100).Of(n); got != want {
				t.Errorf("%d hundredths of %d shards are %d, want %d", hundredths, n, got, want)
			}
		}
		for k := 1; k <= n; k++ {
			if got := ShardShare(float64(k) / float64(n)).Of(n); got != k {
				t.Errorf("%d of %d shards are %d", k, n, got)
			}
		}
	}
	if got := ShardShare(0).Of(0); got != 1 {
		t.Errorf("an answer without shards needs %d, want one that it can't have", got)
	}
}
