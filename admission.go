package yuccahinge

// Admission decides whether a request may start while the searchers of its index are overloaded.
type Admission interface {
	// Admit decides on a request over the index with the given key. Priority zero is admitted before the higher
	// numbers.
	Admit(now Millis, index uint64, id RequestID, priority int) AdmissionDecision
	// RecordLoad reports the load that an admitted request met, after its end.
	RecordLoad(now Millis, index uint64, l RequestLoad)
}

// AdmissionDecision is the admission decision on one request.
type AdmissionDecision struct {
	Admitted bool
	// AdmittedShare is the share of requests that are admitted at present, 0 to 1.
	AdmittedShare float64
}

// RequestLoad is the load that one request met at the searchers.
type RequestLoad struct {
	// TimeUsed is the time until the request could be answered, as a fraction of the time in which an answer is on
	// time. It is over 1 for a request that could not be answered in time.
	TimeUsed float64
	// QueuedShare is the share of its attempts that were queued or refused, 0 to 1.
	QueuedShare float64
	// TooManyRefused means that more shards refused an attempt than an answer may lack, so that the request depended
	// on retries.
	TooManyRefused bool
}
