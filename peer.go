package yuccahinge

import "context"

// PeerCaller calls other entry hosts.
type PeerCaller interface {
	// Call calls the method at addr with in as the argument and decodes the reply into out. The argument may be a
	// TimedMessage. The peer did not receive the call if NeverSent of package peer reports true for the error.
	Call(ctx context.Context, addr string, method PeerMethod, in, out any) error
}

// TimedMessage is a message to a peer that says how much time is left.
type TimedMessage interface {
	// SetSendTime is called with the instant at which the message is sent if it had to wait after it was encoded.
	SetSendTime(now Millis)
}

// PeerHandler handles the calls of one method. Its decode argument decodes the request body into a pointer.
type PeerHandler func(ctx context.Context, decode func(any) error) (any, error)
