package yuccahinge

// Outcome says what is known of whether a request or an attempt ran.
type Outcome string

// The outcomes of attempts and charges.
const (
	// Ran means that a searcher ran it and replied.
	Ran Outcome = "ran"
	// NotRun means that there is proof that it did not run and will not.
	NotRun Outcome = "notRun"
	// Unknown means that it may have run.
	Unknown Outcome = "unknown"
)

// The outcomes of whole searches, beside NotRun.
const (
	// Complete means that every shard is covered.
	Complete Outcome = "complete"
	// Partial means that at least one shard is lacking.
	Partial Outcome = "partial"
)
