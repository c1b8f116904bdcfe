package yuccahinge

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Source reads the configuration service and the membership list. Every call counts against the
// platform's rate limit; a Head that long-polls counts once.
type Source interface {
	// Head returns the highest ticket number. It waits up to wait for one higher than after.
	Head(ctx context.Context, after TicketNumber, wait Millis) (TicketNumber, error)
	// Ticket returns the ticket numbered n.
	Ticket(ctx context.Context, n TicketNumber) (*Ticket, error)
	// State returns a snapshot of the newest state.
	State(ctx context.Context) (*State, error)
	// Members returns the membership list.
	Members(ctx context.Context) ([]Member, error)
}

// ErrPlatformAway reports that the hosts that read the platform responded, but cannot read it at present.
var ErrPlatformAway = errors.New("the reader hosts responded, but cannot read the platform at present")

// ErrHistoryGone reports that the changes after a revision are no longer available.
var ErrHistoryGone = errors.New("the changes after this revision are no longer available")

// Publisher reads a part of the data that the platform publishes.
type Publisher interface {
	// List returns all keys.
	List(ctx context.Context) (*Batch, error)
	// Changes returns the changes after a revision. It waits up to wait for the first. If the changes are no longer
	// available, the caller must call List.
	Changes(ctx context.Context, after Revision, wait Millis) (*Batch, error)
}
