// Package link provides a stand-in for a network link: a TCP relay with injected partitions, delays and pauses.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// Link relays TCP connections from ListenAddr to Target. Set the addresses, call Listen, then Run.
type Link struct {
	// ControlAddr is the listen address for faults and counters; if empty, there is no control listener.
	ListenAddr, ControlAddr, Target string

	listener, controlListener net.Listener
	// toTarget and fromTarget block the bytes of one direction each while they are closed.
	toTarget, fromTarget gate.Gate

	mu       sync.Mutex
	faults   Faults
	conns    map[net.Conn]bool
	counters Counters
}

// Listen binds the addresses.
func (l *Link) Listen() error {
	l.conns = map[net.Conn]bool{}
	var err error
	if l.listener, err = net.Listen("tcp", l.ListenAddr); err != nil {
		return err
	}
	if l.ControlAddr == "" {
		return nil
	}
	l.controlListener, err = net.Listen("tcp", l.ControlAddr)
	return err
}

// Addr returns the bound address whose connections are relayed to the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// BoundControlAddr returns the bound address for faults and counters, or "" if there is none.
func (l *Link) BoundControlAddr() string {
	if l.controlListener == nil {
		return ""
	}
	return l.controlListener.Addr().String()
}

// Run relays connections until ctx ends, then closes them.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.acceptLoop(ctx) })
	if l.controlListener != nil {
		group.Go(func() error { return httpio.Serve(ctx, l.controlListener, l.handler()) })
	}
	return group.Wait()
}

func (l *Link) acceptLoop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	var relays sync.WaitGroup
	defer relays.Wait()
	for {
		c, err := l.listener.Accept()
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
		httpio.WriteJSON(w, http.StatusOK, l.Counters())
	})
	mux.HandleFunc("POST /control", l.postControl)
	return mux
}
