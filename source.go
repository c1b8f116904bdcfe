package yuccahinge

import (
	"context"

	"github.com/cockroachdb/errors"
)

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

// ErrPlatformAway reports that other hosts have answered, but can't speak for the platform now.
var ErrPlatformAway = errors.New("the readers can't read the platform")

// ErrHistoryGone reports that changes after a revision are no longer available.
var ErrHistoryGone = errors.New("the changes after this revision are gone")

// Publisher reads a part of what the platform publishes.
type Publisher interface {
	// List returns all keys.
	List(ctx context.Context) (*Batch, error)
	// Changes returns the changes after a revision and waits for the first. ErrHistoryGone asks for a List.
	Changes(ctx context.Context, after Revision, wait Millis) (*Batch, error)
}
