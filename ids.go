package yuccahinge

import "strconv"

// HostID identifies an entry host. It is stable across restarts.
type HostID string

// Incarnation distinguishes a process from the earlier ones with the same id. It is drawn at random when
// the process starts.
type Incarnation string

// DomainID identifies a failure domain.
type DomainID string

// ServiceName identifies a service that callers send requests to.
type ServiceName string

// ShardID is the number of a shard within one version of a service's index.
type ShardID uint32

// SearcherID identifies a searcher, which is a backend server.
type SearcherID string

// IndexVersion is the version number of a service's index.
type IndexVersion uint64

// TicketNumber is the sequence number of a Ticket. Zero denotes the empty state before the first ticket.
type TicketNumber uint64

// Digest is the hexadecimal hash of a State.
type Digest string

// CalendarName identifies a holiday calendar.
type CalendarName string

// RequestRate is a number of requests per second.
type RequestRate float64

// RequestID identifies a caller's request.
type RequestID string

// AttemptID is the number of an attempt within its request. The shards of a request share one sequence.
type AttemptID uint32

// ClaimID is the encoded form of a claim, which permits one charge to run.
type ClaimID string

// DocumentID identifies a document in an index.
type DocumentID string

// PeerMethod identifies a method that entry hosts call on each other.
type PeerMethod string

// Fingerprint is the hash of a service's name and a query's text.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
