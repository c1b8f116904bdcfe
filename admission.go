package yuccahinge

// Admission decides whether a request may start while the searchers of its index are overloaded.
type Admission interface {
	// Admit decides on a request over the index with the given key. Priority zero is admitted before the higher
	// numbers.
	Admit(now Millis, index uint64, id RequestID, priority int) Verdict
	// Ended reports the load that an admitted request met, after its end.
	Ended(now Millis, index uint64, p Pressure)
}

// Verdict is the admission decision on one request.
type Verdict struct {
	Admitted bool
	// Share is the share of requests that are admitted at present, 0 to 1.
	Share float64
}

// Pressure is the load that one request met at the searchers.
type Pressure struct {
	// Used is the time until the request could be answered, as a fraction of the time in which an answer is on
	// time. It is over 1 for a request that could not be answered in time.
	Used float64
	// Crowded is the share of its attempts that were queued or refused, 0 to 1.
	Crowded float64
	// Short means that more shards refused an attempt than an answer may miss, so that the request depended
	// on retries.
	Short bool
}
