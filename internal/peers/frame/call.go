package frame

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahinge/yuccahinge"
)

// Call is the envelope of a call.
type Call struct {
	Cluster     string                 `json:"c"`
	Host        yuccahinge.HostID      `json:"h"`
	Incarnation yuccahinge.Incarnation `json:"i"`
	Stamp       yuccahinge.Timestamp   `json:"s"`
	Method      yuccahinge.PeerMethod  `json:"m"`
	// DeadlineMs is the time until the caller's deadline when it sends the call; zero means no deadline.
	DeadlineMs yuccahinge.Millis `json:"d,omitempty"`
	Body       cbor.RawMessage   `json:"b,omitempty"`
}
