package charge

import (
	"errors"

	"github.com/yuccahinge/yuccahinge"
)

// The calls between entry hosts.
const (
	methodGrant  yuccahinge.PeerMethod = "charge/grant"
	methodCharge yuccahinge.PeerMethod = "charge/charge"
	methodLookup yuccahinge.PeerMethod = "charge/lookup"
)

// grantReply is the owner's word on a claim request: a grant, or a fault.
type grantReply struct {
	Grant yuccahinge.ClaimGrant `json:"grant"`
	Fault *fault                `json:"fault,omitempty"`
}

// answerReply is the owner's word on a charge or a lookup: an answer, or a fault.
type answerReply struct {
	Answer yuccahinge.ChargeAnswer `json:"answer"`
	Fault  *fault                  `json:"fault,omitempty"`
}

// lookupCall asks an owner for the outcome of a claim.
type lookupCall struct {
	Claim yuccahinge.ClaimID `json:"claim"`
}

// fault is an error as it travels between hosts. It tells the owner's word from a failure of the call.
type fault struct {
	Code    yuccahinge.Code    `json:"code"`
	Step    yuccahinge.Step    `json:"step"`
	Peer    string             `json:"peer,omitempty"`
	Message string             `json:"message"`
	Outcome yuccahinge.Outcome `json:"outcome,omitempty"`
}

func faultOf(self yuccahinge.HostID, err error) *fault {
	if err == nil {
		return nil
	}
	f := &fault{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepClaim, Peer: string(self), Message: err.Error()}
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		return f
	}
	f.Code = e.Code
	f.Step = e.Step
	f.Message = e.Message
	f.Outcome = e.Outcome
	if e.Peer != "" {
		f.Peer = e.Peer
	}
	return f
}

func (f *fault) err() error {
	if f == nil {
		return nil
	}
	return &yuccahinge.Error{Code: f.Code, Step: f.Step, Peer: f.Peer, Message: f.Message, Outcome: f.Outcome}
}
