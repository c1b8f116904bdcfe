package yuccahinge

// Admission decides whether a request may start while the searchers of its index are overloaded.
type Admission interface {
	// Admit decides on a request. Priority zero is admitted before the higher numbers, and a request that can be answered on
	// time before one that can't.
	Admit(now Millis, r *AdmissionRequest) AdmissionDecision
	// RecordLoad reports the load that an admitted request over the index with the given key met, after its end.
	RecordLoad(now Millis, index uint64, l RequestLoad)
}

// AdmissionRequest is what the admission knows of a request.
type AdmissionRequest struct {
	// Index is the key of the index that the request goes to.
	Index    uint64
	ID       RequestID
	Route    RouteName
	Priority int
	// ObjectiveMs is the latency objective of the route; zero for none.
	ObjectiveMs Millis
	// RemainingMs is the time until the caller stops waiting.
	RemainingMs Millis
	// IsPart is set if another host has admitted the request and delegated some of its shards.
	IsPart bool
}

// AdmissionDecision is the admission decision on one request.
type AdmissionDecision struct {
	Admitted bool
	// AdmittedShare is the share of requests that are admitted at present, 0 to 1.
	AdmittedShare float64
	// RetryAfterMs is the delay after which the caller of a refused request may come back. It is longer than the caller waits
	// if the request would be refused again.
	RetryAfterMs Millis
}

// RequestLoad is the load that one request met at the searchers.
type RequestLoad struct {
	// TimeUsed is the time until the request could be answered, as a fraction of the time in which an answer is on
	// time. It is over 1 for a request that could not be answered in time.
	TimeUsed float64
	// QueuedShare is the share of its attempts that were queued or refused because of load, 0 to 1.
	QueuedShare float64
	// TooManyRefused means that more shards refused an attempt because of load than an answer may lack, so that the request
	// depended on retries.
	TooManyRefused bool
	// Priority is that of the request.
	Priority int
}
