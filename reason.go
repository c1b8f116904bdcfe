package yuccahinge

// Reason says why an attempt brought no reply or a shard is lacking.
type Reason string

// The reasons, in the words that callers see.
const (
	ReasonTimeout     Reason = "timeout"
	ReasonNotRun      Reason = "notRun"
	ReasonUnreachable Reason = "unreachable"
	ReasonVersion     Reason = "version"
	ReasonRefused     Reason = "refused"
	ReasonInvalid     Reason = "invalid"
	ReasonDraining    Reason = "draining"
	ReasonShed        Reason = "shed"
	ReasonPoisoned    Reason = "poisoned"
	ReasonLost        Reason = "connectionLost"
	ReasonCanceled    Reason = "canceled"
	// ReasonFailed means that the searcher ran the request and answered with a failure.
	ReasonFailed Reason = "failed"
	// ReasonCapacity means that every searcher is full or gone.
	ReasonCapacity Reason = "capacity"
)
