// Package link provides the stand-in of a network link: a TCP relay that can be cut, delayed or frozen.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// Link is a relay from ListenAddr to Target. Set the addresses, call Listen, then Run.
type Link struct {
	ListenAddr, ControlAddr, Target string

	public, control net.Listener
	// there and back hold the bytes of each direction.
	there, back gate.Gate

	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
	count  Counters
}

// Listen binds the addresses.
func (l *Link) Listen() error {
	l.conns = map[net.Conn]bool{}
	var err error
	if l.public, err = net.Listen("tcp", l.ListenAddr); err != nil {
		return err
	}
	if l.ControlAddr == "" {
		return nil
	}
	l.control, err = net.Listen("tcp", l.ControlAddr)
	return err
}

// Addr returns the address that is relayed to the target.
func (l *Link) Addr() string { return l.public.Addr().String() }

// Control returns the address for faults and counters, empty for none.
func (l *Link) Control() string {
	if l.control == nil {
		return ""
	}
	return l.control.Addr().String()
}

// Run relays until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.accept(ctx) })
	if l.control != nil {
		group.Go(func() error { return wire.Serve(ctx, l.control, l.handler()) })
	}
	return group.Wait()
}

func (l *Link) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.public.Close() })
	defer stop()
	var relays sync.WaitGroup
	defer relays.Wait()
	for {
		c, err := l.public.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		relays.Go(func() { l.relay(ctx, c) })
	}
}

func (l *Link) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		wire.Reply(w, http.StatusOK, l.Counters())
	})
	mux.HandleFunc("POST /control", l.postControl)
	return mux
}
