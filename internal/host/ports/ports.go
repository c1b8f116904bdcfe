// Package ports binds the listeners of a host and serves HTTP on them.
package ports

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/host/kept"
)

// Port is a listening address of a host.
type Port struct {
	// Setting is the name of the setting that holds Addr.
	Setting string
	Addr    string
	// Listener is where Listen stores the listener.
	Listener *net.Listener
}

// Listen binds all ports. If one can't be bound, it closes the others and returns an error that names the setting.
func Listen(ctx context.Context, all ...Port) error {
	for _, p := range all {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Addr)
		if err != nil {
			Close(all...)
			return &yuccahinge.Error{
				Code:    yuccahinge.CodeInvalid,
				Step:    yuccahinge.StepSettings,
				Message: p.Setting + " " + p.Addr + " can't be bound",
				Err:     err,
			}
		}
		*p.Listener = l
	}
	return nil
}

// Close closes the listeners of the ports that are bound.
func Close(all ...Port) {
	for _, p := range all {
		if *p.Listener != nil {
			_ = (*p.Listener).Close()
		}
	}
}

// ServeHTTP serves requests until ctx ends. If the listener is closed earlier, it serves the open connections until then.
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

// Shutdown shuts down a server after its drain. It closes idle connections, which conns holds, and waits for the requests
// that were already read. If ctx ends first, it returns the error of ctx and leaves the connections of the others open.
func Shutdown(ctx context.Context, s *http.Server, conns *kept.Conns) error {
	conns.Close(ctx)
	return s.Shutdown(ctx)
}
