package yuccahinge

// EventPage is a part of a host's time line.
type EventPage struct {
	Events []Event `json:"events"`
	// Next is the sequence number to ask for next.
	Next uint64 `json:"next"`
}
