package yuccahinge

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ConfigSource reads the configuration service and the membership list. Every call counts against the
// platform's rate limit; a Head that long-polls counts once.
type ConfigSource interface {
	// Head returns the highest ticket number. It waits up to wait for one higher than after. It may fail with ErrInvalidState
	// once for each published state that can't be used, while the one before it stays valid.
	Head(ctx context.Context, after TicketNumber, wait Millis) (TicketNumber, error)
	// Ticket returns the ticket numbered n.
	Ticket(ctx context.Context, n TicketNumber) (*Ticket, error)
	// State returns a snapshot of the newest state.
	State(ctx context.Context) (*State, error)
	// Members returns the membership list.
	Members(ctx context.Context) ([]Member, error)
}

// ErrPlatformUnavailable reports that the hosts that read the platform responded, but cannot read it at present.
var ErrPlatformUnavailable = errors.New("the reader hosts responded, but cannot read the platform at present")

// ErrInvalidState reports that the state that the platform has published last can't be used.
var ErrInvalidState = errors.New("the published state is invalid")

// ErrCompacted reports that the changes after a position are no longer available, because the platform has dropped its history or
// has come back from an older copy of its data.
var ErrCompacted = errors.New("the changes after this position are no longer available")

// ListWatcher reads the list of searchers that the platform publishes and its changes.
type ListWatcher interface {
	// List returns all keys.
	List(ctx context.Context) (*ChangeBatch, error)
	// Watch returns the changes after a position. It waits up to wait for the first. If the changes are no longer
	// available, it fails with ErrCompacted and the caller must call List.
	Watch(ctx context.Context, after Position, wait Millis) (*ChangeBatch, error)
}
