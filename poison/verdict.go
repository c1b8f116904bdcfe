package poison

// Verdict says what is held against a query.
type Verdict string

// The verdicts.
const (
	// Clear queries may run.
	Clear Verdict = "clear"
	// Suspect queries lost a searcher and may run on one more, alone.
	Suspect Verdict = "suspect"
	// Resting queries are suspects that lost several searchers just now. They are refused until those have
	// had time to come back, so that the last replica of a shard is not risked.
	Resting Verdict = "resting"
	// Confirmed queries are refused.
	Confirmed Verdict = "confirmed"
)
