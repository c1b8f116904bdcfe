package yuccahinge

// Picker chooses the searcher of the next attempt at a shard.
type Picker interface {
	// Pick returns a searcher of the shard that is not in tried, or false if none is available.
	Pick(now Millis, ix *Index, shard *Shard, tried []SearcherID) (SearcherID, bool)
}

// LatencyEstimator estimates how long an attempt at a shard takes.
type LatencyEstimator interface {
	// ExpectedLatency returns the expected duration of one more attempt at the shard's best searcher, or false if none is
	// available.
	ExpectedLatency(now Millis, ix *Index, shard *Shard) (Millis, bool)
}

// AttemptObserver is notified of the start and the end of each attempt.
type AttemptObserver interface {
	Started(now Millis, id SearcherID)
	Ended(now Millis, id SearcherID, r *ShardResult)
}

// RateLimiter keeps this host's calls to each searcher within its part of the maximum rate that the searcher names.
type RateLimiter interface {
	// Limited returns the number of searchers that name a maximum rate or may be cold.
	Limited() int
	// RoomIn returns the delay until this host may send one more call to a searcher of the service; zero means now.
	RoomIn(now Millis, id SearcherID, s *Searcher, service ServiceName) Millis
	// Started counts a call to a searcher.
	Started(now Millis, id SearcherID)
	// Unsent reverts Started for a call that was started at the instant startedAt and never sent.
	Unsent(now, startedAt Millis, id SearcherID)
	// Observe records the load report of a response to a call that was sent at the instant sentAt.
	Observe(now, sentAt Millis, id SearcherID, report *LoadReport)
}

// Warmup is the warm-up of a searcher, during which it is cold: slow, and limited to the WarmupRate of its service.
type Warmup struct {
	Service ServiceName
	Domain  DomainID
	// From is when this host learned of the warm-up, and Until its end.
	From, Until Millis
}

// WarmupTracker tells which searchers are cold.
type WarmupTracker interface {
	// Cold returns the number of searchers that are cold, or were until lately.
	Cold() int
	// Warmup returns the warm-up of a searcher, or false if the searcher is not cold.
	Warmup(now Millis, id SearcherID) (Warmup, bool)
}

// RoomEstimator tells when a shard has room for a call.
type RoomEstimator interface {
	// RoomIn returns the delay until a searcher of the shard may get one more call, zero if one may now, or false if
	// none is available. While no searcher has a maximum rate or wants no calls for a time, every shard has room.
	RoomIn(now Millis, ix *Index, shard *Shard) (Millis, bool)
}

// Hedger decides when a hedge, a second attempt at a slow shard, may start.
type Hedger interface {
	// Delay returns the delay of the hedge from the start of the first attempt, or false for no hedge.
	Delay(now Millis, service ServiceName, shard ShardID) (Millis, bool)
}

// AttemptBudget limits extra attempts to a share of the recent first attempts. It counts separately for
// each group of replicas, which is named by its service; the group is empty if one budget covers the whole index.
type AttemptBudget interface {
	// Deposit counts n first attempts.
	Deposit(now Millis, group ServiceName, n int)
	// Withdraw reports whether one extra attempt may start, and deducts it if so.
	Withdraw(now Millis, group ServiceName) bool
	// Refund returns an extra attempt that was withdrawn at the instant withdrawnAt and not sent.
	Refund(withdrawnAt Millis, group ServiceName)
}

// Limiter limits the concurrent requests to a service.
type Limiter interface {
	// Admit reports whether a request may start now. Release must be called at the end of each admitted request.
	Admit(now Millis, service ServiceName) bool
	// Release reports the end of a request, how long it took and whether it met its deadline.
	Release(now Millis, service ServiceName, took Millis, ok bool)
}

// StateProvider provides the state in force on this host.
type StateProvider interface {
	// State returns the state in force and its age. The state is nil until the first one is loaded.
	State() (*State, Millis)
}
