package conns

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestUnboundedResponsesAreErrors has a faulty searcher send bytes without end until the connection is closed. The call
// fails once the bound is reached, long before its deadline, and the next call succeeds.
func TestUnboundedResponsesAreErrors(t *testing.T) {
	const bound = 1 << 20
	junk := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ begin, repeat string }{
		"status line":               {"HTTP/1.1 200 ", junk},
		"no status line":            {"", junk},
		"one header field":          {"HTTP/1.1 200 OK\r\nId: ", junk},
		"header fields":             {"HTTP/1.1 200 OK\r\n", "A: " + junk + "\r\n"},
		"chunked body":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + junk + "\r\n"},
		"small chunks":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)},
		"trailer":                   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + junk + "\r\n"},
		"body until close":          {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", junk},
		"content length over limit": {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999\r\n\r\n", junk},
		"informational responses":   {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40)},
		"responses to other calls":  {"", strings.Repeat(response("b", "x"), 20)},
		"bytes after a response":    {response("b", "x"), junk},
	} {
		t.Run(name, func(t *testing.T) {
			var calls, sent atomic.Int64
			addr := startSearcher(t, func(conn net.Conn, _ int64, in *bufio.Reader) {
				id := readRequestID(in)
				if calls.Add(1) > 1 {
					_, _ = io.WriteString(conn, response(id, "x"))
					return
				}
				n, err := io.WriteString(conn, c.begin)
				for err == nil && sent.Load() < 64*bound {
					sent.Add(int64(n))
					n, err = io.WriteString(conn, c.repeat)
				}
			})
			pool := &Pool{MaxReplyBytes: 64 << 10}
			defer pool.Close()
			if got, err := do(t, pool, addr, "a"); err == nil || errors.Is(err, ErrNotSent) || t.Context().Err() != nil {
				t.Fatalf("%q, %v", got, err)
			}
			if got, err := do(t, pool, addr, "c"); got != "x" || err != nil {
				t.Errorf("the next call returned %q, %v", got, err)
			}
			// The socket buffers at both ends hold bytes beyond the bound.
			if n := sent.Load(); n > 16*bound {
				t.Errorf("the searcher could send %d bytes", n)
			}
		})
	}
}
