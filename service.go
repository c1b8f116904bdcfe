package yuccahinge

// ServiceKind tells searches from charges.
type ServiceKind string

// The kinds of service.
const (
	// KindSearch is scattered to every shard and may be retried and hedged.
	KindSearch ServiceKind = "search"
	// KindCharge runs on one searcher, at most once.
	KindCharge ServiceKind = "charge"
)

// Preference says what a service gives up when a shard is late.
type Preference string

// The preferences.
const (
	// PreferLatency answers at the soft deadline once coverage suffices.
	PreferLatency Preference = "latency"
	// PreferCoverage waits for stragglers up to the deadline.
	PreferCoverage Preference = "coverage"
)

// Service is the whole routing state of one service.
type Service struct {
	Kind       ServiceKind `json:"kind"`
	Preference Preference  `json:"preference,omitempty"`
	// Calendar names the holiday calendar that goes with every query; empty for none.
	Calendar CalendarName `json:"calendar,omitempty"`
	// DeadlineMs bounds a request whose caller names no deadline.
	DeadlineMs Millis `json:"deadlineMs,omitempty"`
	// SoftDeadlineMs is when PreferLatency answers with EnoughCoverage.
	SoftDeadlineMs Millis `json:"softDeadlineMs,omitempty"`
	// EnoughCoverage is the share of shards, 0 to 1, that suffices at the soft deadline.
	EnoughCoverage float64 `json:"enoughCoverage,omitempty"`
	// VersionHoldMs bounds how long the previous index is served while searchers load the new one.
	VersionHoldMs Millis `json:"versionHoldMs,omitempty"`
	// MaxHits bounds the hits of an answer.
	MaxHits int   `json:"maxHits,omitempty"`
	Index   Index `json:"index"`
	// Previous is the index that this one replaced. The fold sets it; a ticket must not.
	Previous *Index `json:"previous,omitempty"`
}
