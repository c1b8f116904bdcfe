package yuccahinge

// State is the fold of all tickets up to its number. It is immutable once published: a query pins one
// State for its whole life.
type State struct {
	Ticket    TicketNumber               `json:"ticket"`
	Digest    Digest                     `json:"digest"`
	Services  map[ServiceName]*Service   `json:"services"`
	Calendars map[CalendarName]*Calendar `json:"calendars"`
	// Routing is where the requests go that searchers receive as they came; nil for none.
	Routing *Routing `json:"routing,omitempty"`
}
