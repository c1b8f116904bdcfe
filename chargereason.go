package yuccahinge

// Reasons that only charges have. The reasons of attempts apply to charges too.
const (
	// ReasonExpired means that the claim expired before it was used.
	ReasonExpired Reason = "expired"
	// ReasonOwnerLost means that the process that granted the claim has ended, and its record of the outcome with it.
	ReasonOwnerLost Reason = "ownerLost"
	// ReasonEvicted means that the owner has evicted the outcome of the claim.
	ReasonEvicted Reason = "forgotten"
)
