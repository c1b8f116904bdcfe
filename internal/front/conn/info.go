// Package conn attaches the measured network delay and the request count of a caller's connection to its context.
package conn

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"github.com/yuccahinge/yuccahinge"
)

// Info holds the network delay and the request count of a caller's connection.
type Info struct {
	// OneWayMs is the one-way network delay, half of the round-trip time that the kernel measured when the connection was
	// made; zero if it could not be read.
	OneWayMs yuccahinge.Millis

	requests atomic.Int64
}

type contextKey struct{}

// NewContext returns a copy of ctx with the Info of a new connection. It can be used as http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, &Info{OneWayMs: oneWayMs(c)})
}

// FromContext returns the Info in ctx, or an empty one.
func FromContext(ctx context.Context) *Info {
	if i, ok := ctx.Value(contextKey{}).(*Info); ok {
		return i
	}
	return new(Info)
}

// CountRequest counts a request and reports whether it is the first one of its connection.
func (i *Info) CountRequest() bool { return i.requests.Add(1) == 1 }

// oneWayMs returns half of the round-trip time in the TCP_INFO of c, or zero if it can't be read.
func oneWayMs(c net.Conn) yuccahinge.Millis {
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
