package scene

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

// Host is an entry host under test.
type Host interface {
	Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
	// Close drops its connections once nothing is in flight.
	Close()
}

// Place says where a host runs and what it sees.
type Place struct {
	ID     yuccahinge.HostID
	Domain yuccahinge.DomainID
	// Seed starts the host's random choices.
	Seed uint64
	// Hosts is the number of entry hosts that share the searchers.
	Hosts  int
	States yuccahinge.StateHolder
	Gossip yuccahinge.Gossip
}

// Side is one of the implementations that a run compares.
type Side struct {
	Name string
	// Adapt changes the plan for this side; it may be nil.
	Adapt func(p *fleet.Plan)
	New   func(p Place) (Host, error)
}
