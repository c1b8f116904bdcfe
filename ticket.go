package yuccahinge

// Ticket is a numbered change. It replaces whole values: a nil value removes its key, and keys that it
// does not name stay as they are.
type Ticket struct {
	Number    TicketNumber               `json:"number"`
	Note      string                     `json:"note,omitempty"`
	Services  map[ServiceName]*Service   `json:"services,omitempty"`
	Calendars map[CalendarName]*Calendar `json:"calendars,omitempty"`
	// Routing replaces the whole routing.
	Routing *Routing `json:"routing,omitempty"`
}
