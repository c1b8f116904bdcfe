package event

import "github.com/yuccahinge/yuccahinge"

// Events of tickets and their spread, numbered from 400.
const (
	TicketRead       yuccahinge.EventCode = 400
	TicketInForce    yuccahinge.EventCode = 401
	TicketIgnored    yuccahinge.EventCode = 402
	TicketRefused    yuccahinge.EventCode = 403
	TicketConflict   yuccahinge.EventCode = 404
	TicketGap        yuccahinge.EventCode = 405
	StateAdopted     yuccahinge.EventCode = 406
	PlatformDown     yuccahinge.EventCode = 407
	PlatformBack     yuccahinge.EventCode = 408
	ReaderElected    yuccahinge.EventCode = 409
	ReaderStoodDown  yuccahinge.EventCode = 410
	SpreadPushed     yuccahinge.EventCode = 411
	SpreadPullFailed yuccahinge.EventCode = 412
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
}
