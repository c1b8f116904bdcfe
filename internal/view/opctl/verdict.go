package opctl

// Verdict is the status of a ticket on a host, in a failure domain, or on all hosts.
type Verdict string

// Values of Verdict.
const (
	// InForce means that every live host confirmed the ticket with the same digest.
	InForce Verdict = "inForce"
	// NotYet means that at least one host replied that the ticket is not in force on it.
	NotYet Verdict = "notYet"
	// Unknown means that the status of at least one host is unknown, and all others confirmed.
	Unknown Verdict = "unknown"
	// Conflict means that hosts confirmed different digests.
	Conflict Verdict = "conflict"
	// Leaving means that the host is leaving and is not counted.
	Leaving Verdict = "leaving"
)

// worse returns the verdict with the higher severity.
func worse(a, b Verdict) Verdict {
	severity := map[Verdict]int{Leaving: 0, InForce: 1, Unknown: 2, NotYet: 3, Conflict: 4}
	if severity[b] > severity[a] {
		return b
	}
	return a
}
