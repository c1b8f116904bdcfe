package yuccahinge

// EventPage is one page of a host's event log.
type EventPage struct {
	Events []Event `json:"events"`
	// Next is the sequence number at which the next page starts.
	Next uint64 `json:"next"`
}
