package yuccahinge

// Ticket is a numbered change to the State. It replaces whole values: a nil value deletes its key, and keys
// that the ticket does not contain are unchanged.
type Ticket struct {
	Number    TicketNumber               `json:"number"`
	Note      string                     `json:"note,omitempty"`
	Services  map[ServiceName]*Service   `json:"services,omitempty"`
	Calendars map[CalendarName]*Calendar `json:"calendars,omitempty"`
	// Routing replaces the complete routing table; nil leaves it unchanged.
	Routing *Routing `json:"routing,omitempty"`
	// Evacuated replaces the whole list of evacuated failure domains; nil leaves it unchanged.
	Evacuated *[]DomainID `json:"evacuated,omitempty"`
}
