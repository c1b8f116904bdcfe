package yuccahinge

// NoticeKind is the kind of a notice.
type NoticeKind string

// Kinds of notices.
const (
	// NoticeDraining says that an incarnation of a searcher is draining. Its key is the SearcherID.
	NoticeDraining NoticeKind = "draining"
	// NoticeSuspect says that the connections to several searchers were lost while they ran a query, which may
	// be a poison query. Its key is the Fingerprint in hexadecimal, a slash and the shard of the last lost searcher.
	NoticeSuspect NoticeKind = "suspect"
	// NoticePoisoned says that a query is quarantined. Its key is the Fingerprint in hexadecimal, for a forwarded request followed by a
	// slash and the hash of its services in hexadecimal.
	NoticePoisoned NoticeKind = "poisoned"
	// NoticeCrash says that a forwarded request got no response and that a searcher that ran it is gone. Its key is the
	// Fingerprint, the hash of the request's services and a hash of the searcher's id, in hexadecimal with slashes between them.
	NoticeCrash NoticeKind = "crash"
	// NoticeLost says that a searcher closed the connection of a forwarded request without a response, and may have ended. Its key is
	// that of a NoticeCrash.
	NoticeLost NoticeKind = "lost"
	// NoticeHarmless says that a searcher responded to a forwarded request that other hosts suspect. Its key is the Fingerprint
	// and the hash of the request's services, in hexadecimal with a slash between them.
	NoticeHarmless NoticeKind = "harmless"
	// NoticeMaxRate says that a searcher names MaxRate, or none any more if that is nil. Its key is the SearcherID. The
	// notice with the newest Stamp replaces the others.
	NoticeMaxRate NoticeKind = "maxRate"
	// NoticeCold says that a searcher is cold for as long as the notice lives. Its key is the SearcherID.
	NoticeCold NoticeKind = "cold"
	// NoticeRejecting says that an incarnation of a searcher rejects requests although it has free slots. Its key is the
	// SearcherID.
	NoticeRejecting NoticeKind = "rejecting"
)

// Notice is a short-lived fact that entry hosts gossip to each other. Receiving one is idempotent.
type Notice struct {
	Kind        NoticeKind  `json:"kind"`
	Key         string      `json:"key"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// TTLMs is the remaining lifetime of the notice, counted from its receipt.
	TTLMs Millis `json:"ttlMs"`
	// MaxRate and Stamp are set for NoticeMaxRate only.
	MaxRate *RequestRate `json:"maxRate,omitempty"`
	Stamp   Timestamp    `json:"stamp,omitzero"`
}

// Gossip disseminates notices to the other entry hosts.
type Gossip interface {
	// Broadcast queues a notice for dissemination. It does not block.
	Broadcast(n Notice)
	// Subscribe registers a function that is called for each new notice from another host.
	Subscribe(handle func(Notice))
}
