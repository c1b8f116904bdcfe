package poison

// Verdict says what is held against a query.
type Verdict string

// The verdicts.
const (
	// Clear queries may run.
	Clear Verdict = "clear"
	// Suspect queries lost a searcher and may run on one more, alone.
	Suspect Verdict = "suspect"
	// Confirmed queries are refused.
	Confirmed Verdict = "confirmed"
)
