package spread

import "github.com/yuccahinge/yuccahinge"

// Summary is what a host tells of its state in every exchange.
type Summary struct {
	Host   yuccahinge.HostID       `json:"host"`
	Number yuccahinge.TicketNumber `json:"number"`
	Digest yuccahinge.Digest       `json:"digest"`
	// Conflict is the highest number for which two digests are known; zero for none.
	Conflict yuccahinge.TicketNumber `json:"conflict,omitempty"`
	// Read is the newest successful read of the platform that the host knows of.
	Read Read `json:"read"`
}

// Read is a successful read of the platform's head. An empty Reader stands for none.
type Read struct {
	Reader yuccahinge.HostID `json:"reader,omitempty"`
	// AgeMs is the time since the read.
	AgeMs yuccahinge.Millis       `json:"ageMs,omitempty"`
	Head  yuccahinge.TicketNumber `json:"head,omitempty"`
}

// Push is a ticket on its way between hosts, with the sender's digests before and after it.
type Push struct {
	Ticket *yuccahinge.Ticket `json:"ticket"`
	Before yuccahinge.Digest  `json:"before"`
	After  yuccahinge.Digest  `json:"after"`
}

// Parcel brings a host that is behind up to date: the tickets that it lacks, in order, or a whole state.
type Parcel struct {
	Pushes []Push            `json:"pushes,omitempty"`
	State  *yuccahinge.State `json:"state,omitempty"`
}

// Request opens an exchange between two hosts.
type Request struct {
	Summary Summary `json:"summary"`
	// Parcel is sent to a host that is believed to be behind.
	Parcel *Parcel `json:"parcel,omitempty"`
	// Quiet asks for the summary only.
	Quiet bool `json:"quiet,omitempty"`
}

// Reply answers a Request. Its Parcel is set when the asking host was behind.
type Reply struct {
	Summary Summary `json:"summary"`
	Parcel  *Parcel `json:"parcel,omitempty"`
}
