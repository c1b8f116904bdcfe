// Package ports binds the listeners of a host and serves HTTP on them.
package ports

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
)

// Port is one listener of a host.
type Port struct {
	// Field names the setting that holds Addr.
	Field string
	Addr  string
	// To takes the listener.
	To *net.Listener
}

// Listen binds all ports. On an error none stays bound, and the error names the setting.
func Listen(ctx context.Context, all ...Port) error {
	for _, p := range all {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Addr)
		if err != nil {
			Close(all...)
			return &yuccahinge.Error{
				Code:    yuccahinge.CodeInvalid,
				Step:    yuccahinge.StepSettings,
				Message: p.Field + " " + p.Addr + " can't be bound",
				Err:     err,
			}
		}
		*p.To = l
	}
	return nil
}

// Close closes the ports that are bound.
func Close(all ...Port) {
	for _, p := range all {
		if *p.To != nil {
			_ = (*p.To).Close()
		}
	}
}

// ServeHTTP serves until ctx ends, on the connections that are open if the listener was closed before.
func ServeHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Finish ends a server that has no more work to its knowledge. It closes the connections without a request and waits for
// those whose request was read meanwhile, until ctx ends: then the error is that of ctx and the server still runs.
func Finish(ctx context.Context, s *http.Server) error { return s.Shutdown(ctx) }
