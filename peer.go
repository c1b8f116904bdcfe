package yuccahinge

import "context"

// PeerCaller calls other entry hosts.
type PeerCaller interface {
	// Call sends in to the method at addr and decodes the reply into out. An error for which
	// NeverSent of package peer reports true proves that the peer did not receive the call.
	Call(ctx context.Context, addr string, method PeerMethod, in, out any) error
}

// PeerHandler answers one method. Decode fills a pointer from the request's body.
type PeerHandler func(ctx context.Context, decode func(any) error) (any, error)
