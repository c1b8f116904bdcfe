package event

import "github.com/yuccahinge/yuccahinge"

// Events of tickets and of their replication between hosts, numbered from 400.
const (
	TicketRead    yuccahinge.EventCode = 400
	TicketInForce yuccahinge.EventCode = 401
	// TicketIgnored means that a ticket or a state was discarded because its number is not above the one in force.
	TicketIgnored yuccahinge.EventCode = 402
	TicketRefused yuccahinge.EventCode = 403
	// TicketConflict means that a second digest was received for a ticket number.
	TicketConflict yuccahinge.EventCode = 404
	// TicketGap means that a ticket waits for the ones before it or for a snapshot.
	TicketGap yuccahinge.EventCode = 405
	// StateAdopted means that the host loaded a snapshot instead of applying single tickets.
	StateAdopted yuccahinge.EventCode = 406
	PlatformDown yuccahinge.EventCode = 407
	PlatformBack yuccahinge.EventCode = 408
	// ReaderElected and ReaderStoodDown mean that this host started and stopped being one of the hosts that read
	// the platform for the others.
	ReaderElected   yuccahinge.EventCode = 409
	ReaderStoodDown yuccahinge.EventCode = 410
	// SpreadPushed means that the host sent new tickets to a peer, and SpreadPullFailed that a request for a peer's
	// state or list of searchers failed.
	SpreadPushed     yuccahinge.EventCode = 411
	SpreadPullFailed yuccahinge.EventCode = 412
	// PlatformRestored means that the platform has come back from an older copy of its data.
	PlatformRestored yuccahinge.EventCode = 413
)

var ticketNames = map[yuccahinge.EventCode]string{
	TicketRead:       "ticketRead",
	TicketInForce:    "ticketInForce",
	TicketIgnored:    "ticketIgnored",
	TicketRefused:    "ticketRefused",
	TicketConflict:   "ticketConflict",
	TicketGap:        "ticketGap",
	StateAdopted:     "stateAdopted",
	PlatformDown:     "platformDown",
	PlatformBack:     "platformBack",
	ReaderElected:    "readerElected",
	ReaderStoodDown:  "readerStoodDown",
	SpreadPushed:     "spreadPushed",
	SpreadPullFailed: "spreadPullFailed",
	PlatformRestored: "platformRestored",
}
