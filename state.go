package yuccahinge

// State is the result of applying all tickets up to Ticket in order. It is immutable once published: a query
// pins one State from its start to its end.
type State struct {
	Ticket    TicketNumber               `json:"ticket"`
	Digest    Digest                     `json:"digest"`
	Services  map[ServiceName]*Service   `json:"services"`
	Calendars map[CalendarName]*Calendar `json:"calendars"`
	// Routing routes the requests that are forwarded to searchers unchanged; nil for none.
	Routing *Routing `json:"routing,omitempty"`
	// Evacuated holds the failure domains whose searchers get no requests, in order.
	Evacuated []DomainID `json:"evacuated,omitempty"`
}
