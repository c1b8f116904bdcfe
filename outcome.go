package yuccahinge

// Outcome says whether a request or an attempt ran, as far as is known.
type Outcome string

// Outcomes of attempts and charges.
const (
	// Ran means that a searcher ran the attempt or charge and replied.
	Ran Outcome = "ran"
	// NotRun means that the attempt or charge provably did not run and will not run.
	NotRun Outcome = "notRun"
	// Unknown means that the attempt or charge may have run.
	Unknown Outcome = "unknown"
)

// Outcomes of whole searches; a search may be NotRun too.
const (
	// Complete means that the answer covers every shard.
	Complete Outcome = "complete"
	// Partial means that the answer lacks at least one shard.
	Partial Outcome = "partial"
)
