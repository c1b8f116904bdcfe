package claim

import "github.com/yuccahinge/yuccahinge"

// Verdict says what to do with a charge that arrived under a claim.
type Verdict string

// The verdicts.
const (
	// Start means that this charge, and no other, runs under the claim. It ends with Table.End.
	Start Verdict = "start"
	// Wait means that the same charge is running.
	Wait Verdict = "wait"
	// Repeat means that the claim has been used up: Answer is its outcome.
	Repeat Verdict = "repeat"
	// Refuse means that the charge does not fit its claim: Err says why, and nothing was started.
	Refuse Verdict = "refuse"
)

// Decision is a verdict with what belongs to it.
type Decision struct {
	Verdict Verdict
	// Key is the business key of the claim, with Start.
	Key    string
	Answer yuccahinge.ChargeAnswer
	Err    error
}
