package yuccahinge

import (
	"errors"
	"fmt"
)

// Step names the step of a request or of a background task at which an error arose.
type Step string

// The steps.
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

// Code classes an error for callers and picks the HTTP status.
type Code string

// The codes.
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

// Error carries the step and the peer at which a failure arose.
type Error struct {
	Code Code
	Step Step
	// Peer is the host, searcher or address concerned; empty for this host.
	Peer string
	// Message is for people, lower case and without punctuation at its end.
	Message string
	// Outcome says what is known of whether the request ran; empty stands for Unknown.
	Outcome Outcome
	// RetryAfterMs is when the caller may come back with a request that did not run; zero says nothing.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first Error that err wraps, or an empty one.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
