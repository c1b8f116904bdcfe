package yuccahinge

// Learner learns how long shards take. A Hedger usually implements it too.
type Learner interface {
	// Learn takes the time of an attempt that ended, or the time that a canceled one had taken so far.
	Learn(now Millis, service ServiceName, shard ShardID, took Millis)
}
