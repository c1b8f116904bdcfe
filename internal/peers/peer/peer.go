// Package peer implements the server for drpc calls from other entry hosts.
package peer

import (
	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// NeverSent reports whether err proves that the peer did not receive the call.
func NeverSent(err error) bool {
	return errors.Is(err, frame.ErrNeverSent)
}
