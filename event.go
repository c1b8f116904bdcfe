package yuccahinge

// EventCode identifies a kind of event. docs/EVENTS.md lists all codes.
type EventCode int

// Timestamp is a hybrid logical clock timestamp. It orders the events of all processes: by the physical time,
// then by a logical counter that messages carry from process to process.
type Timestamp struct {
	Wall  int64  `json:"wall"`
	Count uint32 `json:"count"`
}

// Before reports whether t comes before o.
func (t Timestamp) Before(o Timestamp) bool {
	if t.Wall != o.Wall {
		return t.Wall < o.Wall
	}
	return t.Count < o.Count
}

// Event is an entry of a host's event log. Fields that do not apply are empty.
type Event struct {
	Stamp    Timestamp    `json:"stamp"`
	Seq      uint64       `json:"seq"`
	Code     EventCode    `json:"code"`
	Name     string       `json:"name"`
	Host     HostID       `json:"host"`
	Request  RequestID    `json:"request,omitempty"`
	Ticket   TicketNumber `json:"ticket,omitempty"`
	Service  ServiceName  `json:"service,omitempty"`
	Shard    *ShardID     `json:"shard,omitempty"`
	Attempt  AttemptID    `json:"attempt,omitempty"`
	Searcher SearcherID   `json:"searcher,omitempty"`
	Claim    ClaimID      `json:"claim,omitempty"`
	Peer     string       `json:"peer,omitempty"`
	Detail   string       `json:"detail,omitempty"`
	// TookMs is the time since the request arrived or the attempt was sent.
	TookMs Millis `json:"tookMs,omitempty"`
}
