// Package conn attaches the measured network delay and the request count of a caller's connection to its context.
package conn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/yuccahinge/yuccahinge"
)

// kernelTickMs is the longest tick in which kernels count the time since the last bytes.
const kernelTickMs yuccahinge.Millis = 10

// maxWaitMs is the longest time since the last bytes that is taken for a wait. No caller waits longer.
const maxWaitMs = 60 * yuccahinge.Second

// Info holds the network delay and the request count of a caller's connection.
type Info struct {
	// OneWayMs is the one-way network delay, half of the round-trip time that the kernel measured when the connection was
	// made; zero if it could not be read.
	OneWayMs yuccahinge.Millis

	raw      syscall.RawConn // nil if the connection has no TCP_INFO
	requests atomic.Int64
}

type contextKey struct{}

// NewContext returns a copy of ctx with the Info of a new connection. It can be used as http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	i := new(Info)
	if t, ok := c.(syscall.Conn); ok {
		// Without raw access the delays are unknown.
		i.raw, _ = t.SyscallConn()
	}
	if info := i.tcpInfo(); info != nil {
		i.OneWayMs = microseconds(info.Rtt) / 2
	}
	return context.WithValue(ctx, contextKey{}, i)
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

// WaitedMs returns how long ago at least the last bytes from the caller arrived, zero if unknown. For a request that has
// just been read it is how long this host took to read it.
func (i *Info) WaitedMs() yuccahinge.Millis {
	info := i.tcpInfo()
	if info == nil {
		return 0
	}
	waited := yuccahinge.Millis(info.Last_data_recv) - kernelTickMs
	if waited < 0 || waited > maxWaitMs {
		return 0
	}
	return waited
}

// tcpInfo returns the TCP_INFO of the connection, or nil if it can't be read.
func (i *Info) tcpInfo() *unix.TCPInfo {
	if i.raw == nil {
		return nil
	}
	var info *unix.TCPInfo
	err := i.raw.Control(func(fd uintptr) {
		if read, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = read
		}
	})
	if err != nil {
		return nil
	}
	return info
}

func microseconds(n uint32) yuccahinge.Millis { return yuccahinge.Millis(n) / 1000 }
