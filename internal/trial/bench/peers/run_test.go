package peers

import (
	"context"
	"testing"
)

func TestTicketsComeIntoForceOnAllHosts(t *testing.T) {
	p := Plan{Hosts: 4, Domains: 2, Searchers: 8, Shards: 4, Tickets: 2, TicketBytes: 200, IdleMs: 1500, TicketIntervalMs: 100, Seed: 1}
	r, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if r.MaxMs <= 0 || r.MaxMs > 8000 || r.IdleBytesPerSecond <= 0 {
		t.Fatalf("last ticket or idle traffic out of range in report %+v", r)
	}
}
