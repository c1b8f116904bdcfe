package spread

import "github.com/yuccahinge/yuccahinge"

// DecisionKind is the type of a Decision.
type DecisionKind string

// The kinds of decision.
const (
	// Adopt makes State the state in force.
	Adopt DecisionKind = "adopt"
	// Exchange sends a request with this host's summary to Peer.
	Exchange DecisionKind = "exchange"
	// SendUpdate sends Update to Peer.
	SendUpdate DecisionKind = "deliver"
	// ReadTicket reads the ticket Number from the platform.
	ReadTicket DecisionKind = "readTicket"
	// ReadState reads the whole state from the platform.
	ReadState DecisionKind = "readState"
	// Ignored reports a ticket, state or head that is older than the state in force.
	Ignored DecisionKind = "ignored"
	// Conflict reports a second digest for the same ticket number.
	Conflict DecisionKind = "conflict"
	// Gap reports a ticket that can't be applied because an earlier one is missing.
	Gap DecisionKind = "gap"
	// Refused reports a ticket or state that failed validation.
	Refused DecisionKind = "refused"
)

// Decision is one action or report for the caller of Node to carry out. Fields that the Kind doesn't use are zero.
type Decision struct {
	Kind   DecisionKind
	Peer   yuccahinge.HostID
	Number yuccahinge.TicketNumber
	Digest yuccahinge.Digest
	State  *yuccahinge.State
	Update *Update
	// Whole reports whether an adopted state was received as a whole state and not built from a ticket.
	Whole  bool
	Reason string
}
