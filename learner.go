package yuccahinge

// Learner records the latencies of shards. A Hedger usually implements it too.
type Learner interface {
	// Learn records the duration of an ended attempt, or the time that a canceled attempt had run until then.
	Learn(now Millis, service ServiceName, shard ShardID, took Millis)
}
