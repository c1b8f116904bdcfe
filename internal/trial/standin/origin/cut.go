package origin

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

// cutStride is the step from the length of one cut response to that of the next, modulo the length of a whole one.
const cutStride = 37

// cuts counts responses, to cut some of them. The zero value cuts none.
type cuts struct {
	every, responses atomic.Int64
}

// SetCutEvery ends the connection within one response in n, in the head or in the body, with a reset each second time. Zero
// cuts none.
func (s *Server) SetCutEvery(n int64) { s.cuts.every.Store(n) }

// cut sends a part of a response and ends the connection, if it is the turn of this response. It reports whether it did.
func (c *cuts) cut(w http.ResponseWriter, body []byte) bool {
	every := c.every.Load()
	if every == 0 {
		return false
	}
	n := c.responses.Add(1)
	hijacker, ok := w.(http.Hijacker)
	if n%every != 0 || !ok {
		return false
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&text) // a write to a buffer does not fail
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = conn.Write(text.Bytes()[:int(n*cutStride)%text.Len()]) // fails only if the caller has disconnected
	if tcp, ok := conn.(*net.TCPConn); ok && n/every%2 == 0 {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	return true
}
