package yuccahinge

// Confirmation is a host's word on whether a ticket is in force on it.
type Confirmation struct {
	Host   HostID   `json:"host"`
	Domain DomainID `json:"domain"`
	// Number is the ticket that was asked for.
	Number  TicketNumber `json:"number"`
	InForce bool         `json:"inForce"`
	// Digest is that of the state at Number. It is empty when that is not in force, or when the host took a
	// whole state above it and never saw it.
	Digest Digest `json:"digest"`
	// Head and HeadDigest name the state in force on the host.
	Head       TicketNumber `json:"head"`
	HeadDigest Digest       `json:"headDigest"`
	// Conflict tells that the host knows of another digest for the number in force.
	Conflict bool `json:"conflict,omitempty"`
}
