package yuccahinge

// Confirmation reports whether a ticket is in force on a host.
type Confirmation struct {
	Host   HostID   `json:"host"`
	Domain DomainID `json:"domain"`
	// Number is the requested ticket.
	Number  TicketNumber `json:"number"`
	InForce bool         `json:"inForce"`
	// Digest is the digest of the state at Number. It is empty if the ticket is not in force, or if the host
	// loaded a snapshot with a higher number and never applied this ticket.
	Digest Digest `json:"digest"`
	// Head and HeadDigest identify the state in force on the host.
	Head       TicketNumber `json:"head"`
	HeadDigest Digest       `json:"headDigest"`
	// Conflict means that the host has received a different digest for the number in force.
	Conflict bool `json:"conflict,omitempty"`
}
