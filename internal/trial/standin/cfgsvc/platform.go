// Package cfgsvc provides a stand-in for the platform: the configuration service, which is read-only for the system, and
// the membership list.
package cfgsvc

import (
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// Platform is a stand-in for the platform. Set the addresses, call Listen, then Run.
type Platform struct {
	// ListenAddr is the listen address for hosts that read tickets, ControlAddr the one for operators, faults and counters.
	ListenAddr, ControlAddr string

	readerListener, controlListener net.Listener
	gate                            gate.Gate
	budget                          fixedWindow

	mu      sync.Mutex
	tickets map[yuccahinge.TicketNumber]*yuccahinge.Ticket
	head    yuccahinge.TicketNumber
	// changed is closed when the tickets or the faults change.
	changed chan struct{}
	// memberLists are the lists in the order of PutMembers; hosts get the newest whose delay has passed.
	memberLists []memberList
	faults      Faults
	counters    Counters
}

// Listen binds the addresses.
func (p *Platform) Listen() error {
	p.tickets = map[yuccahinge.TicketNumber]*yuccahinge.Ticket{}
	p.changed = make(chan struct{})
	var err error
	if p.readerListener, err = net.Listen("tcp", p.ListenAddr); err != nil {
		return err
	}
	p.controlListener, err = net.Listen("tcp", p.ControlAddr)
	return err
}

// Addr returns the bound address for hosts that read tickets.
func (p *Platform) Addr() string { return p.readerListener.Addr().String() }

// BoundControlAddr returns the bound address for operators, faults and counters.
func (p *Platform) BoundControlAddr() string { return p.controlListener.Addr().String() }

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return httpio.Serve(ctx, gate.NewListener(p.readerListener, &p.gate), p.handler())
	})
	group.Go(func() error { return httpio.Serve(ctx, p.controlListener, p.controlHandler()) })
	return group.Wait()
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/head", p.withBudget("head", p.getHead))
	mux.HandleFunc("GET /v1/tickets/{n}", p.withBudget("ticket", p.getTicket))
	mux.HandleFunc("GET /v1/state", p.withBudget("state", p.getState))
	mux.HandleFunc("GET /v1/members", p.withBudget("members", p.getMembers))
	return mux
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", p.getControl)
	mux.HandleFunc("POST /control", p.postControl)
	mux.HandleFunc("POST /publish", p.postPublish)
	mux.HandleFunc("PUT /members", p.putMembers)
	return mux
}
