package yuccahinge

// Confirmation is a host's word on whether a ticket is in force on it.
type Confirmation struct {
	Host   HostID   `json:"host"`
	Domain DomainID `json:"domain"`
	// Number is the ticket that was asked for.
	Number  TicketNumber `json:"number"`
	InForce bool         `json:"inForce"`
	// Head and Digest name the state in force on the host.
	Head   TicketNumber `json:"head"`
	Digest Digest       `json:"digest"`
	// Conflict tells that the host has seen two tickets of this number.
	Conflict bool `json:"conflict,omitempty"`
}
