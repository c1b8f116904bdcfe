package opctl

// Verdict is what may be said of a ticket on a host, in a failure domain, or everywhere.
type Verdict string

// The verdicts.
const (
	// InForce means that every live host confirmed the ticket with the same digest.
	InForce Verdict = "inForce"
	// NotYet means that at least one host answered that the ticket is not in force on it.
	NotYet Verdict = "notYet"
	// Unknown means that at least one host could not be asked, and all others confirmed.
	Unknown Verdict = "unknown"
	// Conflict means that hosts confirmed different digests.
	Conflict Verdict = "conflict"
	// Leaving means that the host is leaving and is not counted.
	Leaving Verdict = "leaving"
)

// worse orders verdicts by how much they stand in the way.
func worse(a, b Verdict) Verdict {
	rank := map[Verdict]int{Leaving: 0, InForce: 1, Unknown: 2, NotYet: 3, Conflict: 4}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
