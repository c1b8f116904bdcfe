package yuccahinge

import "encoding/json"

// SearchRequest is a caller's search.
type SearchRequest struct {
	RequestID RequestID       `json:"-"`
	Service   ServiceName     `json:"-"`
	Query     json.RawMessage `json:"query"`
	// DeadlineMs is the time limit for the answer, counted from the arrival of the request. Zero selects the
	// service's deadline.
	DeadlineMs Millis `json:"deadlineMs,omitempty"`
	// MinTicket is the lowest ticket number that the caller accepts for the state behind the answer.
	MinTicket TicketNumber `json:"minTicket,omitempty"`
}

// SearchAnswer is the answer to a SearchRequest.
type SearchAnswer struct {
	RequestID    RequestID    `json:"requestId"`
	Ticket       TicketNumber `json:"ticket"`
	StateAgeMs   Millis       `json:"stateAgeMs"`
	IndexVersion IndexVersion `json:"indexVersion"`
	Hits         []Hit        `json:"hits"`
	Coverage     Coverage     `json:"coverage"`
	Outcome      Outcome      `json:"outcome"`
}

// Coverage says which shards of the pinned index an answer covers and which it lacks.
type Coverage struct {
	// Total is the number of shards of the index, covered or not.
	Total int `json:"asked"`
	// Covered lists shards and ranges of shards, such as "7" or "0-5".
	Covered []string       `json:"covered"`
	Lacking []LackingShard `json:"lacking"`
}

// LackingShard names a shard that an answer does not cover and the reason.
type LackingShard struct {
	Shard  ShardID `json:"shard"`
	Reason Reason  `json:"reason"`
}
