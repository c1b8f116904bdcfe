package spread

import "github.com/yuccahinge/yuccahinge"

// Kind is the type of a Decision.
type Kind string

// The kinds of decision.
const (
	// Adopt makes State the state in force.
	Adopt Kind = "adopt"
	// Exchange sends a request with this host's summary to Peer.
	Exchange Kind = "exchange"
	// Deliver sends Parcel to Peer.
	Deliver Kind = "deliver"
	// ReadTicket reads the ticket Number from the platform.
	ReadTicket Kind = "readTicket"
	// ReadState reads the whole state from the platform.
	ReadState Kind = "readState"
	// Ignored reports a ticket, state or head that is older than the state in force.
	Ignored Kind = "ignored"
	// Conflict reports a second digest for the same ticket number.
	Conflict Kind = "conflict"
	// Gap reports a ticket that can't be applied because an earlier one is missing.
	Gap Kind = "gap"
	// Refused reports a ticket or state that failed validation.
	Refused Kind = "refused"
)

// Decision is one action or report for the caller of Spread to carry out. Fields that a Kind doesn't use are zero.
type Decision struct {
	Kind   Kind
	Peer   yuccahinge.HostID
	Number yuccahinge.TicketNumber
	Digest yuccahinge.Digest
	State  *yuccahinge.State
	Parcel *Parcel
	// Whole reports whether an adopted state was received as a whole state and not built from a ticket.
	Whole  bool
	Reason string
}
