package frame

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
)

// WireError is the encoded form of an error in a reply.
type WireError struct {
	Code    yuccahinge.Code    `json:"c"`
	Step    yuccahinge.Step    `json:"s"`
	Peer    string             `json:"p,omitempty"`
	Message string             `json:"m"`
	Outcome yuccahinge.Outcome `json:"o,omitempty"`
}

// WireErrorOf converts err to a WireError. An error other than a yuccahinge.Error gets CodeDeadline or
// CodeInternal.
func WireErrorOf(err error) *WireError {
	var e *yuccahinge.Error
	if errors.As(err, &e) {
		return &WireError{Code: e.Code, Step: e.Step, Peer: e.Peer, Message: e.Message, Outcome: e.Outcome}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &WireError{Code: yuccahinge.CodeDeadline, Step: yuccahinge.StepPeer, Message: err.Error()}
	}
	return &WireError{Code: yuccahinge.CodeInternal, Step: yuccahinge.StepPeer, Message: err.Error()}
}

// Err converts e back to an error. If it names no peer, the error names the peer from, which sent the reply.
func (e *WireError) Err(from string) error {
	peer := e.Peer
	if peer == "" {
		peer = from
	}
	return &yuccahinge.Error{Code: e.Code, Step: e.Step, Peer: peer, Message: e.Message, Outcome: e.Outcome}
}
