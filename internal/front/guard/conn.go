package guard

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/front/conn"
	"github.com/yuccahinge/yuccahinge/internal/front/usage"
)

const (
	// pieceBytes is the largest part of an answer that is written at once. Progress counts only after a whole part, and parts of 64 KiB ended
	// answers to clients that read 1 to 3 KB/s.
	pieceBytes = 8 << 10
	// messagePiece is the largest part of a message between hosts that is read at once, so that it is counted before the next one.
	messagePiece = 64 << 10
	// waitInterval is the time between two checks whether ended connections have released their bytes.
	waitInterval = 5 * time.Millisecond
	// maxReadWait and maxAcceptWait bound such waits. New callers wait for a short time only, since they may be ordinary ones.
	maxReadWait   = 2 * time.Second
	maxAcceptWait = 100 * time.Millisecond
	// refusalTimeout bounds the write of a refusal to a client whose connection ends.
	refusalTimeout = 1 * time.Second
	headTooLarge   = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// trackedConn counts what its client sends and reads.
type trackedConn struct {
	net.Conn
	guard  *Guard
	client usage.Client
	// isInHead is true while bytes that are read belong to the head of a request.
	isInHead atomic.Bool
	hasEnded atomic.Bool
	lines    lineCounter
	closing  sync.Once
	// cancel ends the requests of the connection; nil before NewContext.
	cancel atomic.Pointer[context.CancelFunc]
}

func newConn(raw net.Conn, l *listener) *trackedConn {
	c := &trackedConn{Conn: raw, guard: l.guard}
	c.client.Port, c.client.IsMessages, c.client.Owner = l.port, l.isMessages, c
	c.client.HasUnread = func() bool { return conn.UnreadBytes(raw) > 0 }
	c.isInHead.Store(!l.isMessages)
	return c
}

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// CloseWrite closes the side for writes, as net/http does before it closes a connection with unread bytes. It returns syscall.ENOTSUP if the
// connection can't do so.
func (c *trackedConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.ENOTSUP
	}
	return w.CloseWrite()
}

// Read implements net.Conn. Once the connection has ended it fails as if its deadline had passed.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.awaitRoom()
	if c.hasEnded.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.client.IsMessages {
		p = p[:min(len(p), messagePiece)]
	}
	n, err := c.Conn.Read(p)
	isInHead := c.isInHead.Load()
	if n > 0 && (isInHead || c.client.IsMessages) {
		lines := 0
		if isInHead {
			lines = c.lines.count(p[:n])
		}
		c.endOthers(c.guard.Tracker.Read(c.guard.Clock.Now(), &c.client, n, lines))
		// A head of many short lines takes far more once it is parsed.
		c.awaitRoom()
	}
	if c.hasEnded.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

func (c *trackedConn) awaitRoom() {
	await(maxReadWait, func() bool { return c.guard.Tracker.MustWait(&c.client) })
}

// await waits while connections that were ended still hold what the process lacks.
func await(limit time.Duration, mustWait func() bool) {
	for waited := time.Duration(0); waited < limit && mustWait(); waited += waitInterval {
		time.Sleep(waitInterval)
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	t, clock := &c.guard.Tracker, c.guard.Clock
	c.endOthers(t.BeginWrite(clock.Now(), &c.client, len(p)))
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		if err != nil || written == len(p) {
			t.EndWrite(clock.Now(), &c.client)
			return written, err
		}
		t.Wrote(&c.client, n)
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closing.Do(func() {
		c.cancelRequests()
		c.guard.Tracker.Close(&c.client)
	})
	return c.Conn.Close()
}

func (c *trackedConn) cancelRequests() {
	if cancel := c.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// endOthers ends connections. This one gets a refusal if its head is too large.
func (c *trackedConn) endOthers(clients []*usage.Client) {
	for _, other := range clients {
		if other == &c.client {
			c.refuseHead()
		}
		other.Owner.(*trackedConn).end(false)
	}
}

// refuseHead answers a head over the limits. No other write is in progress while a head is read.
func (c *trackedConn) refuseHead() {
	if r := c.guard.Tracker.Reason(&c.client); r == usage.HeadBytes || r == usage.HeadLines {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(headTooLarge)) // the client need not read it
	}
}

// end ends the connection. A handler that reads a body may still answer, unless isForced is set.
func (c *trackedConn) end(isForced bool) {
	c.hasEnded.Store(true)
	if isForced || c.client.IsMessages || c.isInHead.Load() || c.guard.Tracker.Phase(&c.client) != usage.Body {
		_ = c.Conn.Close() // the server closes c once it has released what it holds
		c.cancelRequests()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// SetReadDeadline implements net.Conn. The deadline of an ended connection stays.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	if c.hasEnded.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. The deadline of an ended connection stays.
func (c *trackedConn) SetWriteDeadline(t time.Time) error {
	if c.hasEnded.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// MessageRead says that a message between hosts has been read whole. It is part of what package peer uses.
func (c *trackedConn) MessageRead() {
	c.guard.Tracker.Enter(c.guard.Clock.Now(), &c.client, usage.Whole)
}

// lineCounter counts the lines of heads. What follows the end of a head in the same read isn't counted.
type lineCounter struct {
	// hasText is true if the line so far has bytes other than a carriage return.
	hasText bool
}

func (l *lineCounter) count(p []byte) int {
	n := 0
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			l.hasText = l.hasText || !isBlank(p)
			break
		}
		if !l.hasText && isBlank(p[:i]) {
			return n // the end of the head; another read in the same head means that it wasn't
		}
		n++
		l.hasText = false
		p = p[i+1:]
	}
	return n
}

func isBlank(p []byte) bool { return len(p) == 0 || len(p) == 1 && p[0] == '\r' }
