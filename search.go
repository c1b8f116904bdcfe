package yuccahinge

import "encoding/json"

// SearchRequest is a caller's search.
type SearchRequest struct {
	RequestID RequestID       `json:"-"`
	Service   ServiceName     `json:"-"`
	Query     json.RawMessage `json:"query"`
	// DeadlineMs bounds the whole answer, counted from arrival. Zero takes the service's deadline.
	DeadlineMs Millis `json:"deadlineMs,omitempty"`
	// MinTicket is the least ticket number that the caller accepts.
	MinTicket TicketNumber `json:"minTicket,omitempty"`
}

// SearchAnswer is the answer to a search.
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
	Asked int `json:"asked"`
	// Covered lists shards and ranges of shards, as "7" or "0-5".
	Covered []string `json:"covered"`
	Lacking []Lack   `json:"lacking"`
}

// Lack is a shard that an answer does not cover.
type Lack struct {
	Shard  ShardID `json:"shard"`
	Reason Reason  `json:"reason"`
}
