package yuccahinge

// HostStatus is the status that an entry host reports to operators.
type HostStatus struct {
	Host        HostID       `json:"host"`
	Domain      DomainID     `json:"domain"`
	Incarnation Incarnation  `json:"incarnation"`
	Version     string       `json:"version"`
	Ready       bool         `json:"ready"`
	Reason      string       `json:"reason,omitempty"`
	Phase       string       `json:"phase"`
	UptimeMs    Millis       `json:"uptimeMs"`
	Ticket      TicketNumber `json:"ticket"`
	Digest      Digest       `json:"digest"`
	StateAgeMs  Millis       `json:"stateAgeMs"`
	InFlight    int          `json:"inFlight"`
	Charges     int          `json:"charges"`
	Members     []Member     `json:"members"`
	// Evacuated holds the failure domains whose searchers get no requests.
	Evacuated []DomainID `json:"evacuated,omitempty"`
	// Searchers are the estimates of searchers that don't work like their peers; empty if the host has no estimates.
	Searchers []SearcherEstimate `json:"searchers,omitempty"`
}
