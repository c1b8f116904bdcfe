package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/call/intake"
)

const (
	// readBufferBytes is the size of a connection's read buffer, enough for the header of a response and a small body.
	readBufferBytes = 2 << 10
	// idleMargin is subtracted from the searcher's keep-alive timeout, so that no call is sent on a connection that the
	// searcher is about to close.
	idleMargin yuccahinge.Millis = 500
	// maxInlineWrite is the size in bytes up to which a request is written before its response is awaited. A longer one
	// is written concurrently, because the searcher may respond before it has read the whole request.
	maxInlineWrite = 4 << 10
	// maxHeadBytes bounds the status line and the header of a response. It is many times what searchers send.
	maxHeadBytes = 64 << 10
	// maxSkipped bounds the informational responses and the responses to earlier calls that are skipped during one call.
	maxSkipped = 8
)

// pendingCall is a call whose response is awaited.
type pendingCall struct {
	call    *Call
	request []byte
	done    chan result
}

// result is the reply to a call or the error that ended it.
type result struct {
	reply *Reply
	err   error
}

// persistConn is one connection, kept open between calls. It carries one call at a time.
type persistConn struct {
	peer      *peer
	conn      net.Conn
	limited   *io.LimitedReader // bounds what is read from conn for one response
	reader    *bufio.Reader     // reads from limited
	idleUntil yuccahinge.Millis // guarded by the peer's lock
	openedAt  yuccahinge.Millis

	mu      sync.Mutex
	current *pendingCall
	writing bool
	err     error // why the connection was closed; nil while it is open
}

func newPersistConn(p *peer, c net.Conn) *persistConn {
	limited := &io.LimitedReader{R: c}
	return &persistConn{peer: p, conn: c, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// beginCall makes a call the current one and reports whether the connection is still open.
func (pc *persistConn) beginCall(pending *pendingCall) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.err != nil {
		return false
	}
	pc.current = pending
	pc.writing = true
	return true
}

// roundTrip sends the request and waits for the response. It closes the connection when ctx ends first.
func (pc *persistConn) roundTrip(ctx context.Context, pending *pendingCall) (*Reply, error) {
	if len(pending.request) > maxInlineWrite {
		go pc.writeRequest(pending)
	} else {
		pc.writeRequest(pending)
	}
	select {
	case res := <-pending.done:
		return res.reply, res.err
	case <-ctx.Done():
		pc.close(ctx.Err())
		return nil, ctx.Err()
	}
}

// writeRequest sends the request. If the response is complete by then it releases the connection; otherwise complete
// does so later.
func (pc *persistConn) writeRequest(pending *pendingCall) {
	_, err := pc.conn.Write(pending.request)
	if err != nil {
		pc.close(errors.Mark(err, ErrNoResponse))
		return
	}
	pc.mu.Lock()
	pc.writing = false
	free := pc.current == nil && pc.err == nil
	pc.mu.Unlock()
	if free {
		pc.peer.release(pc, defaultIdleTimeout)
	}
}

// readLoop reads responses until the connection is closed.
func (pc *persistConn) readLoop() {
	skipped := 0
	for {
		pc.limited.N = maxHeadBytes
		if _, err := pc.reader.Peek(1); err != nil {
			pc.close(errors.Mark(err, ErrNoResponse))
			return
		}
		pending := pc.currentCall()
		if pending == nil {
			pc.close(errors.New("received bytes while no call was in flight"))
			return
		}
		reply, mustClose, err := pc.readResponse(pending.call)
		if err != nil {
			pc.close(err)
			return
		}
		if reply == nil {
			if skipped++; skipped > maxSkipped {
				pc.close(errors.Newf("received over %d informational or mismatched responses to one call", maxSkipped))
				return
			}
			continue
		}
		skipped = 0
		if !pc.complete(pending, reply, mustClose) {
			return
		}
	}
}

func (pc *persistConn) currentCall() *pendingCall {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.current
}

// readResponse reads one response. It returns a nil reply if the response is informational or belongs to an earlier call.
// mustClose reports whether the connection can't be reused after it.
func (pc *persistConn) readResponse(call *Call) (reply *Reply, mustClose bool, err error) {
	resp, err := readHead(pc.reader, call.Method)
	if err != nil {
		return nil, true, errors.Wrap(err, "malformed response")
	}
	if resp.StatusCode < http.StatusOK { // 1xx, since readHead accepts no lower status
		return nil, false, nil
	}
	limit := pc.peer.pool.maxReplyBytes()
	// The limit counts bytes of the body only. A chunked body has framing around each chunk, so that more is read.
	pc.limited.N = 2*limit + readBufferBytes
	body, err := pc.readBody(resp, limit)
	if err != nil {
		return nil, true, errors.Wrap(err, "incomplete response body")
	}
	if call.Matches != nil && !call.Matches(resp.StatusCode, resp.Header) {
		return nil, resp.Close, nil
	}
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close, nil
}

// readBody reads a body within the memory that the bodies of all calls share. The connection is closed if it has to be given up.
func (pc *persistConn) readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	return pc.peer.pool.bodies.Read(&intake.Body{
		Source: pc.peer.addr,
		Reader: resp.Body,
		Length: resp.ContentLength,
		Limit:  limit,
		Cancel: func() { pc.close(intake.ErrNoMemory) },
	})
}

// complete delivers the response to the call and reports whether the connection can be reused.
func (pc *persistConn) complete(pending *pendingCall, reply *Reply, mustClose bool) bool {
	mustClose = mustClose || pc.reader.Buffered() > 0
	pc.mu.Lock()
	pc.current = nil
	writing := pc.writing
	pc.mu.Unlock()
	switch {
	case mustClose:
		pc.close(errClosed)
	case !writing:
		pc.peer.release(pc, idleTimeoutOf(reply.Header))
	}
	pending.done <- result{reply: reply}
	return !mustClose
}

// idleTimeoutOf returns how long a connection may stay idle before reuse, from the Keep-Alive field of a response.
func idleTimeoutOf(h http.Header) yuccahinge.Millis {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, yuccahinge.Millis(n)*yuccahinge.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// close closes the connection and fails the call on it. Only the first call has an effect.
func (pc *persistConn) close(cause error) {
	pc.mu.Lock()
	if pc.err != nil {
		pc.mu.Unlock()
		return
	}
	pc.err = cause
	pending := pc.current
	pc.current = nil
	pc.mu.Unlock()
	if tcp, ok := pc.conn.(*net.TCPConn); ok && pending != nil {
		// The kernel would otherwise go on sending the call, after a network partition too.
		_ = tcp.SetLinger(0)
	}
	_ = pc.conn.Close()
	if pending != nil {
		pending.done <- result{err: cause}
	}
	// removeClosed takes the peer's lock, which the caller may hold.
	go pc.peer.removeClosed(pc)
}
