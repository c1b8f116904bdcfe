package yuccahinge

// LatencyRecorder records the latencies of shards. A Hedger usually implements it too.
type LatencyRecorder interface {
	// RecordLatency records the duration of an ended attempt, or the time that a canceled attempt had run until then.
	RecordLatency(now Millis, service ServiceName, shard ShardID, took Millis)
}
