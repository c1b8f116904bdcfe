package yuccahinge

import "context"

// Source reads the configuration service and the membership list. Every call counts against the
// platform's budget; a waiting Head counts once.
type Source interface {
	// Head returns the highest ticket number, waiting up to wait for one above after.
	Head(ctx context.Context, after TicketNumber, wait Millis) (TicketNumber, error)
	// Ticket returns the ticket numbered n.
	Ticket(ctx context.Context, n TicketNumber) (*Ticket, error)
	// State returns the newest whole state.
	State(ctx context.Context) (*State, error)
	// Members returns the membership list.
	Members(ctx context.Context) ([]Member, error)
}
