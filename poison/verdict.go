package poison

// Verdict is whether and how a query may run.
type Verdict string

// The verdicts of Quarantine.Check.
const (
	// Clear queries may run.
	Clear Verdict = "clear"
	// Suspect queries lost a searcher. They may be sent to one searcher at a time.
	Suspect Verdict = "suspect"
	// Cooldown queries are suspects that lost several searchers recently. They are refused until those searchers have
	// had time to restart, since another run could crash the last replica of a shard.
	Cooldown Verdict = "resting"
	// Confirmed queries are in quarantine and refused.
	Confirmed Verdict = "confirmed"
)
