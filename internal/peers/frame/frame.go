// Package frame defines the wire protocol between entry hosts: the preamble of a connection, the envelopes of calls and
// replies, and their encoding in CBOR.
package frame

import "github.com/cockroachdb/errors"

// Preamble is sent at the start of every connection, so that a server can refuse other protocols by their first bytes.
const Preamble = "YUCCAHG1"

// RPC is the name of the only drpc procedure; the method of a call is in its envelope.
const RPC = "/yuccahinge.Peer/Call"

// MaxMessageBytes is the size limit of an encoded envelope.
const MaxMessageBytes = 2 << 20

// ErrNeverSent marks errors of calls that the peer did not receive.
var ErrNeverSent = errors.New("the peer did not receive the call")

// ErrTooLarge is returned for a message larger than MaxMessageBytes.
var ErrTooLarge = errors.New("message exceeds the size limit")
