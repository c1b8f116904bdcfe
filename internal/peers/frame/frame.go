// Package frame defines what peers of the query tier write to each other: the preamble of a connection,
// the envelopes of calls and replies, and their encoding in CBOR.
package frame

import "github.com/cockroachdb/errors"

// Preamble opens every connection, so that a listener refuses strangers by their first bytes.
const Preamble = "YUCCAHG1"

// RPC is the one drpc procedure; the method of the call stands in its envelope.
const RPC = "/yuccahinge.Peer/Call"

// MaxMessageBytes bounds an encoded envelope.
const MaxMessageBytes = 2 << 20

// ErrNeverSent marks errors of calls that the peer did not receive.
var ErrNeverSent = errors.New("the peer did not receive the call")

// ErrTooLarge says that an envelope is over MaxMessageBytes.
var ErrTooLarge = errors.New("message over the size bound")
