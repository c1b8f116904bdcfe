// Package remote provides what a host knows of the connection that a caller's request came on.
package remote

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"github.com/yuccahinge/yuccahinge"
)

// Remote is the other end of a caller's connection.
type Remote struct {
	// WayMs is the time that a packet takes, one way, as the kernel measured it when the connection was made; zero if
	// it could not be read.
	WayMs yuccahinge.Millis

	requests atomic.Int64
}

type key struct{}

// Context returns a context that carries what is known of a new connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, &Remote{WayMs: wayMs(c)})
}

// Of returns the remote end that a context carries, or an empty one.
func Of(ctx context.Context) *Remote {
	if r, ok := ctx.Value(key{}).(*Remote); ok {
		return r
	}
	return new(Remote)
}

// Begin counts a request and reports whether it is the first of its connection.
func (r *Remote) Begin() bool { return r.requests.Add(1) == 1 }

// wayMs returns half of the round-trip time that the kernel has measured.
func wayMs(c net.Conn) yuccahinge.Millis {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt uint32 // microseconds
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = info.Rtt
		}
	})
	if err != nil {
		return 0
	}
	return yuccahinge.Millis(rtt) / 1000 / 2
}
