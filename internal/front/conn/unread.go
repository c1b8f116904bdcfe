package conn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// UnreadBytes returns the number of bytes that the system has received and the process has not read, or zero if it is
// unknown.
func UnreadBytes(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			n = unread
		}
	})
	if err != nil {
		return 0
	}
	return n
}
