package poll

// TicketStatus is the status of a ticket on a host, in a failure domain, or on all hosts.
type TicketStatus string

// Values of TicketStatus.
const (
	// InForce means that every live host confirmed the ticket with the same digest.
	InForce TicketStatus = "inForce"
	// Pending means that at least one host replied that the ticket is not in force on it.
	Pending TicketStatus = "notYet"
	// Unknown means that the status of at least one host is unknown, and all others confirmed.
	Unknown TicketStatus = "unknown"
	// Conflict means that hosts confirmed different digests.
	Conflict TicketStatus = "conflict"
	// Leaving means that the host is leaving and is not counted.
	Leaving TicketStatus = "leaving"
)

// worse returns the status with the higher severity.
func worse(a, b TicketStatus) TicketStatus {
	severity := map[TicketStatus]int{Leaving: 0, InForce: 1, Unknown: 2, Pending: 3, Conflict: 4}
	if severity[b] > severity[a] {
		return b
	}
	return a
}
