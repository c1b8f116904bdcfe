package yuccahinge

// ServiceKind distinguishes services for searches from services for charges.
type ServiceKind string

// Kinds of services.
const (
	// KindSearch services scatter each request to every shard and may retry and hedge it.
	KindSearch ServiceKind = "search"
	// KindCharge services run each request on one searcher, at most once.
	KindCharge ServiceKind = "charge"
)

// Preference says whether a service trades coverage or latency when a shard is slow.
type Preference string

// Values of Preference.
const (
	// PreferLatency answers from the soft deadline on, as soon as EnoughCoverage is reached.
	PreferLatency Preference = "latency"
	// PreferCoverage waits for stragglers until the deadline.
	PreferCoverage Preference = "coverage"
)

// Service is the complete configuration of one service in a State.
type Service struct {
	Kind       ServiceKind `json:"kind"`
	Preference Preference  `json:"preference,omitempty"`
	// Calendar names the holiday calendar that is sent with every query; empty for none.
	Calendar CalendarName `json:"calendar,omitempty"`
	// DeadlineMs is the deadline of a request that sets none.
	DeadlineMs Millis `json:"deadlineMs,omitempty"`
	// SoftDeadlineMs is the time from which PreferLatency answers with EnoughCoverage.
	SoftDeadlineMs Millis `json:"softDeadlineMs,omitempty"`
	// EnoughCoverage is the share of shards, 0 to 1, that is sufficient from the soft deadline on.
	EnoughCoverage ShardShare `json:"enoughCoverage,omitempty"`
	// VersionHoldMs is the maximum time for which the previous index is served while searchers load the new one.
	VersionHoldMs Millis `json:"versionHoldMs,omitempty"`
	// MaxHits is the maximum number of hits in an answer.
	MaxHits int   `json:"maxHits,omitempty"`
	Index   Index `json:"index"`
	// Previous is the index that Index replaced. Applying a ticket sets it; a ticket that contains it is invalid.
	Previous *Index `json:"previous,omitempty"`
}
