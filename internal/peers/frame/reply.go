package frame

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahinge/yuccahinge"
)

// Reply is the envelope of a reply. Error is nil if the call succeeded.
type Reply struct {
	Host        yuccahinge.HostID      `json:"h"`
	Incarnation yuccahinge.Incarnation `json:"i"`
	Stamp       yuccahinge.Timestamp   `json:"s"`
	Error       *WireError             `json:"f,omitempty"`
	Body        cbor.RawMessage        `json:"b,omitempty"`
}
