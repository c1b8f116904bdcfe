package spread

import "github.com/yuccahinge/yuccahinge"

// Kind classes a Decision.
type Kind string

// The kinds of decision.
const (
	// Adopt puts State in force.
	Adopt Kind = "adopt"
	// Exchange opens an exchange with Peer.
	Exchange Kind = "exchange"
	// Deliver sends Parcel to Peer.
	Deliver Kind = "deliver"
	// ReadTicket reads the ticket Number from the platform.
	ReadTicket Kind = "readTicket"
	// ReadState reads the whole state from the platform.
	ReadState Kind = "readState"
	// Ignored reports that something at or below the number in force was passed over.
	Ignored Kind = "ignored"
	// Conflict reports a second digest for a number.
	Conflict Kind = "conflict"
	// Gap reports a ticket that is held back until those before it, or a whole state, arrive.
	Gap Kind = "gap"
	// Refused reports a ticket or state that failed its check.
	Refused Kind = "refused"
)

// Decision is one thing for the shell to do or to report.
type Decision struct {
	Kind   Kind
	Peer   yuccahinge.HostID
	Number yuccahinge.TicketNumber
	Digest yuccahinge.Digest
	State  *yuccahinge.State
	Parcel *Parcel
	// Whole says that an adopted state came as a whole, not as a ticket.
	Whole  bool
	Reason string
}
