package yuccahinge

// NoticeKind classes what hosts tell each other beside tickets.
type NoticeKind string

// The kinds of notice.
const (
	// NoticeDraining says that a searcher incarnation is leaving. Its key is the SearcherID.
	NoticeDraining NoticeKind = "draining"
	// NoticeSuspect says that a query lost several searchers. Its key is the Fingerprint in hexadecimal, a
	// slash and the number of the shard that lost the last one.
	NoticeSuspect NoticeKind = "suspect"
	// NoticePoisoned says that a query is quarantined. Its key is the Fingerprint in hexadecimal.
	NoticePoisoned NoticeKind = "poisoned"
)

// Notice is a short-lived fact that spreads between entry hosts. Hearing one twice changes nothing.
type Notice struct {
	Kind        NoticeKind  `json:"kind"`
	Key         string      `json:"key"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// TTLMs is the time that the notice still stands, counted from its receipt.
	TTLMs Millis `json:"ttlMs"`
}

// Gossip spreads notices to the other entry hosts.
type Gossip interface {
	// Tell spreads a notice. It does not wait.
	Tell(n Notice)
	// Subscribe registers a function that sees each new notice from another host.
	Subscribe(heard func(Notice))
}
