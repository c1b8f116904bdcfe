package spread

import "github.com/yuccahinge/yuccahinge"

// Summary describes the sender's state. Every request and reply carries one.
type Summary struct {
	Host   yuccahinge.HostID       `json:"host"`
	Number yuccahinge.TicketNumber `json:"number"`
	Digest yuccahinge.Digest       `json:"digest"`
	// Conflict is the highest ticket number with two known digests; zero for none.
	Conflict yuccahinge.TicketNumber `json:"conflict,omitempty"`
	// Pending is the number that another host is sending to the sender; zero for none.
	Pending yuccahinge.TicketNumber `json:"pending,omitempty"`
	// Read is a recent successful read of the platform: the sender's own if it is recent, else the newest known.
	Read Read `json:"read"`
}

// Read is a successful read of the platform's head. An empty Reader means that there was no read.
type Read struct {
	Reader yuccahinge.HostID `json:"reader,omitempty"`
	// AgeMs is the time from the read to the creation of the summary.
	AgeMs yuccahinge.Millis       `json:"ageMs,omitempty"`
	Head  yuccahinge.TicketNumber `json:"head,omitempty"`
}

// Push is a ticket sent between hosts, with the digests of the sender's state before and after it.
type Push struct {
	Ticket *yuccahinge.Ticket `json:"ticket"`
	Before yuccahinge.Digest  `json:"before"`
	After  yuccahinge.Digest  `json:"after"`
}

// Update updates a host that is behind: it holds the missing tickets in order, or a whole state.
type Update struct {
	Pushes []Push            `json:"pushes,omitempty"`
	State  *yuccahinge.State `json:"state,omitempty"`
}

// Request opens an exchange between two hosts.
type Request struct {
	Summary Summary `json:"summary"`
	// Update is set when the receiver's state is probably older than the sender's.
	Update *Update `json:"parcel,omitempty"`
	// SummaryOnly requests a reply without an Update.
	SummaryOnly bool `json:"quiet,omitempty"`

	// createdAt is the time at the sender. A question asks for the number of the other host, and what this one lacks is then fetched from
	// one host at a time.
	createdAt  yuccahinge.Millis
	isQuestion bool
}

// Reply answers a Request. Its Update is set when the requesting host is behind.
type Reply struct {
	Summary Summary `json:"summary"`
	Update  *Update `json:"parcel,omitempty"`
}
