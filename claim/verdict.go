package claim

import "github.com/yuccahinge/yuccahinge"

// Verdict is what to do with a charge that arrived under a claim.
type Verdict string

// The verdicts of Table.Begin.
const (
	// Start means that the caller must run the charge and then call Table.End. It is returned at most once per claim.
	Start Verdict = "start"
	// Wait means that the charge is already running under this claim.
	Wait Verdict = "wait"
	// Replay means that the claim has a final outcome, or is no longer known: Answer has the outcome. Nothing is run again.
	Replay Verdict = "repeat"
	// Refuse means that the charge is not allowed under the claim. Err has the cause; nothing was started.
	Refuse Verdict = "refuse"
)

// Decision is the result of Table.Begin.
type Decision struct {
	Verdict Verdict
	// Key is the business key of the claim; it is set only with Start.
	Key    string
	Answer yuccahinge.ChargeAnswer
	Err    error
}
