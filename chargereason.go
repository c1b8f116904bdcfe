package yuccahinge

// The reasons of charges, beside those of attempts.
const (
	// ReasonExpired means that the claim's time had passed before it was used.
	ReasonExpired Reason = "expired"
	// ReasonOwnerLost means that the process that granted the claim has ended, so that nobody can tell its outcome.
	ReasonOwnerLost Reason = "ownerLost"
	// ReasonForgotten means that the owner no longer keeps the claim's outcome.
	ReasonForgotten Reason = "forgotten"
)
