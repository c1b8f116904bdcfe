package yuccahinge

// Reason says why an attempt has no reply or why an answer lacks a shard.
type Reason string

// Reasons of attempts and shards. Callers receive these strings.
const (
	ReasonTimeout            Reason = "timeout"
	ReasonNotRun             Reason = "notRun"
	ReasonUnreachable        Reason = "unreachable"
	ReasonVersionUnavailable Reason = "version"
	ReasonRefused            Reason = "refused"
	ReasonInvalid            Reason = "invalid"
	ReasonDraining           Reason = "draining"
	ReasonShed               Reason = "shed"
	ReasonPoisoned           Reason = "poisoned"
	ReasonConnectionLost     Reason = "connectionLost"
	ReasonCanceled           Reason = "canceled"
	// ReasonFailed means that the searcher ran the request and replied with a failure.
	ReasonFailed Reason = "failed"
	// ReasonNoCapacity means that every searcher is at its capacity or unavailable.
	ReasonNoCapacity Reason = "capacity"
)
