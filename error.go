package yuccahinge

import (
	"errors"
	"fmt"
)

// Step names the step of a request or of a background task in which an error occurred.
type Step string

// Steps of requests and of background tasks.
const (
	StepDecode   Step = "decode"
	StepAdmit    Step = "admit"
	StepPin      Step = "pin"
	StepScatter  Step = "scatter"
	StepGather   Step = "gather"
	StepClaim    Step = "claim"
	StepForward  Step = "forward"
	StepCharge   Step = "charge"
	StepPlatform Step = "platform"
	StepSpread   Step = "spread"
	StepPeer     Step = "peer"
	StepSettings Step = "settings"
	StepTicket   Step = "ticket"
	StepDrain    Step = "drain"
)

// Code classifies an error for callers and determines the HTTP status of the response.
type Code string

// Codes that callers receive.
const (
	CodeInvalid       Code = "invalid"
	CodeTooLarge      Code = "tooLarge"
	CodeClaimRequired Code = "claimRequired"
	CodePoisoned      Code = "poisoned"
	CodeUnavailable   Code = "unavailable"
	CodeDeadline      Code = "deadline"
	CodeNotFound      Code = "notFound"
	CodeConflict      Code = "conflict"
	CodeInternal      Code = "internal"
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	Code Code
	Step Step
	// Peer is the host, searcher or address that failed; empty for this host.
	Peer string
	// Message is human-readable, in lower case and without final punctuation.
	Message string
	// Outcome says whether the request ran; empty means Unknown.
	Outcome Outcome
	// RetryAfterMs is the delay after which the caller may retry a request that did not run; zero means no advice.
	RetryAfterMs Millis
	// Err is the cause, or nil.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Step, e.Message)
	if e.Peer != "" {
		s = fmt.Sprintf("%s (%s): %s", e.Step, e.Peer, e.Message)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first Error in err's chain, or the empty Code if there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
