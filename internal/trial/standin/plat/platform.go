// Package plat provides the stand-in of the platform: the configuration service, which the system can
// only read, and the membership list.
package plat

import (
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// Platform is a stand-in platform. Set the addresses, call Listen, then Run.
type Platform struct {
	// ListenAddr is the address for readers, ControlAddr that for operators, faults and counters.
	ListenAddr, ControlAddr string

	public, control net.Listener
	gate            gate.Gate
	calls           window

	mu      sync.Mutex
	tickets map[yuccahinge.TicketNumber]*yuccahinge.Ticket
	head    yuccahinge.TicketNumber
	moved   chan struct{}
	lists   []memberList
	faults  Faults
	counted Counters
}

// Listen binds the addresses.
func (p *Platform) Listen() error {
	p.tickets = map[yuccahinge.TicketNumber]*yuccahinge.Ticket{}
	p.moved = make(chan struct{})
	var err error
	if p.public, err = net.Listen("tcp", p.ListenAddr); err != nil {
		return err
	}
	p.control, err = net.Listen("tcp", p.ControlAddr)
	return err
}

// Addr returns the address for readers.
func (p *Platform) Addr() string { return p.public.Addr().String() }

// Control returns the address for operators, faults and counters.
func (p *Platform) Control() string { return p.control.Addr().String() }

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return wire.Serve(ctx, gate.NewListener(p.public, &p.gate), p.handler())
	})
	group.Go(func() error { return wire.Serve(ctx, p.control, p.controlHandler()) })
	return group.Wait()
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/head", p.counting("head", p.getHead))
	mux.HandleFunc("GET /v1/tickets/{n}", p.counting("ticket", p.getTicket))
	mux.HandleFunc("GET /v1/state", p.counting("state", p.getState))
	mux.HandleFunc("GET /v1/members", p.counting("members", p.getMembers))
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
