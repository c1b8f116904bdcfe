package yuccahinge

// HostID names an entry host. It stays the same over restarts.
type HostID string

// Incarnation tells two lives of one process apart. It is drawn at random when the process starts.
type Incarnation string

// DomainID names a failure domain.
type DomainID string

// ServiceName names a service that callers address.
type ServiceName string

// ShardID numbers a shard within one version of a service's index.
type ShardID uint32

// SearcherID names a searcher (a backend server).
type SearcherID string

// IndexVersion numbers a version of a service's index.
type IndexVersion uint64

// TicketNumber numbers a change ticket. Zero stands for the empty state before the first ticket.
type TicketNumber uint64

// Digest is the hexadecimal hash of a whole state.
type Digest string

// CalendarName names a holiday calendar.
type CalendarName string

// RequestID names a caller's request.
type RequestID string

// AttemptID numbers the attempts of one request, over all its shards.
type AttemptID uint32

// ClaimID is the text form of the right to run one charge.
type ClaimID string

// DocumentID names a document of an index.
type DocumentID string

// PeerMethod names a call between entry hosts.
type PeerMethod string

// Fingerprint is the hash of a service's name and a query's text.
type Fingerprint uint64
