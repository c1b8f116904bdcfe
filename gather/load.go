package gather

// Load counts the queueing and refusals that attempts met at searchers.
type Load struct {
	// Ended counts the attempts that have ended.
	Ended int `json:"ended,omitempty"`
	// Queued counts the attempts that were dropped from the queue of this host, met a queue at the searcher or were
	// refused by it because of its load.
	Queued int `json:"crowded,omitempty"`
	// Refused counts the shards at which a searcher refused at least one attempt because of its load.
	Refused int `json:"refused,omitempty"`
}

// QueuedShare returns the share of ended attempts, 0 to 1, that were queued or refused
// because of load.
func (l Load) QueuedShare() float64 { return float64(l.Queued) / float64(max(l.Ended, 1)) }

func (l *Load) add(other Load) {
	l.Ended += other.Ended
	l.Queued += other.Queued
	l.Refused += other.Refused
}
