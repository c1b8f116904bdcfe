package suite

import (
	"context"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/fleet"
)

// Host is the implementation of an entry host under test.
type Host interface {
	Search(ctx context.Context, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error)
	// Close closes the connections. The caller makes sure that no search is in flight.
	Close()
}

// HostConfig is the configuration of a host: its identity, its domain and its sources of state and notices.
type HostConfig struct {
	ID     yuccahinge.HostID
	Domain yuccahinge.DomainID
	// Seed seeds the host's random choices.
	Seed uint64
	// Hosts is the number of entry hosts that share the searchers.
	Hosts  int
	States yuccahinge.StateProvider
	Gossip yuccahinge.Gossip
}

// Side is one of the entry host implementations that a run compares.
type Side struct {
	Name string
	// AdaptPlan changes the plan (service, hosts, domains) for this side; it may be nil.
	AdaptPlan func(p *fleet.Plan)
	// New starts a host.
	New func(c HostConfig) (Host, error)
}
