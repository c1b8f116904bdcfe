package charge

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
)

// The methods of calls between entry hosts.
const (
	methodGrant  yuccahinge.PeerMethod = "charge/grant"
	methodCharge yuccahinge.PeerMethod = "charge/charge"
	methodLookup yuccahinge.PeerMethod = "charge/lookup"
)

// grantReply is the reply to methodGrant: a grant or an error.
type grantReply struct {
	Grant yuccahinge.ClaimGrant `json:"grant"`
	Error *wireError            `json:"fault,omitempty"`
}

// answerReply is the reply to methodCharge and methodLookup: an answer or an error.
type answerReply struct {
	Answer yuccahinge.ChargeAnswer `json:"answer"`
	Error  *wireError              `json:"fault,omitempty"`
}

// lookupRequest is the request of methodLookup.
type lookupRequest struct {
	Claim yuccahinge.ClaimID `json:"claim"`
}

// wireError is the encoded form of an error returned by the owner. It travels in the reply, so the caller can tell it
// from a failure of the call itself.
type wireError struct {
	Code    yuccahinge.Code    `json:"code"`
	Step    yuccahinge.Step    `json:"step"`
	Peer    string             `json:"peer,omitempty"`
	Message string             `json:"message"`
	Outcome yuccahinge.Outcome `json:"outcome,omitempty"`
}

func toWireError(self yuccahinge.HostID, err error) *wireError {
	if err == nil {
		return nil
	}
	w := &wireError{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepClaim, Peer: string(self), Message: err.Error()}
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		return w
	}
	w.Code = e.Code
	w.Step = e.Step
	w.Message = e.Message
	w.Outcome = e.Outcome
	if e.Peer != "" {
		w.Peer = e.Peer
	}
	return w
}

func (w *wireError) err() error {
	if w == nil {
		return nil
	}
	return &yuccahinge.Error{Code: w.Code, Step: w.Step, Peer: w.Peer, Message: w.Message, Outcome: w.Outcome}
}
