package flood

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"storj.io/drpc/drpcwire"

	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// A pattern is how one client uses one connection. It returns when the connection ends, which the crowd does when its time is up.
type pattern func(c net.Conn, s *site) error

// The patterns are those of docs/HARD-LOAD.md.
var (
	shortLines = pattern(func(c net.Conn, s *site) error {
		return hold(c, s.head(""), longHead())
	})
	completeLines = pattern(func(c net.Conn, s *site) error {
		return repeat(c, s.head("Content-Length: 0\r\n"), completeHead())
	})
	// legalLines stays under headerBytes.
	legalLines = pattern(func(c net.Conn, s *site) error {
		return hold(c, s.head(""), legalHead())
	})
	// foldedLines continues one header line again and again.
	foldedLines = pattern(func(c net.Conn, s *site) error {
		return repeat(c, s.head("X: x\r\n"), strings.Repeat(" \r\n", 5_000), "\r\n")
	})
	// linesWithoutColon is a head that is malformed from its first line on.
	linesWithoutColon = pattern(func(c net.Conn, s *site) error {
		return hold(c, s.head(""), strings.Repeat("x\r\n", 5_000))
	})
	// repeatedFields has many lines of one field that must not occur more than once.
	repeatedFields = pattern(func(c net.Conn, s *site) error {
		return hold(c, s.head(""), strings.Repeat("Transfer-Encoding:\r\n", 700))
	})
	partialBody = pattern(func(c net.Conn, s *site) error {
		return hold(c, s.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))+"\r\n", blanks()[1:])
	})
	wholeBody = pattern(func(c net.Conn, s *site) error {
		head := s.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)) + "\r\n"
		return repeat(c, head, blanks()[len(s.ordinary):], s.ordinary)
	})
	tinyChunks = pattern(func(c net.Conn, s *site) error {
		return repeat(c, s.head("Transfer-Encoding: chunked\r\n")+"\r\n", chunks())
	})
	unreadAnswers = pattern(func(c net.Conn, s *site) error {
		text := []byte(s.head(fmt.Sprintf("Content-Length: %d\r\n", len(s.ordinary))) + "\r\n" + s.ordinary)
		return sendAlways(c, bytes.Repeat(text, 50))
	})
	endlessHead = pattern(func(c net.Conn, s *site) error {
		if _, err := io.WriteString(c, s.head("")+"X: "); err != nil {
			return err
		}
		return sendAlways(c, bytes.Repeat([]byte("x"), 4_096))
	})
	emptyLines = pattern(func(c net.Conn, _ *site) error {
		return sendAlways(c, bytes.Repeat([]byte("\r\n"), 2_048))
	})
	nothing = pattern(func(c net.Conn, _ *site) error { return hold(c, "") })
	// partialMessage is a call between hosts, all but its end.
	partialMessage = pattern(func(c net.Conn, _ *site) error {
		return hold(c, frame.Preamble, cutMessage())
	})
)

// What clients send, made once for all of them.
var (
	longHead     = sync.OnceValue(func() string { return lines(8_000) })
	completeHead = sync.OnceValue(func() string { return lines(6_000) + "\r\n" })
	legalHead    = sync.OnceValue(func() string { return strings.Repeat("a:\n", 5_300) })
	blanks       = sync.OnceValue(func() string { return strings.Repeat(" ", bodyBytes) })
	chunks       = sync.OnceValue(func() string { return strings.Repeat("1\r\nx\r\n", 65_536) + "0\r\n\r\n" })
	cutMessage   = sync.OnceValue(func() string {
		text := drpcwire.AppendFrame(nil, drpcwire.Frame{
			Data: bytes.Repeat([]byte("x"), frame.MaxMessageBytes-1_000), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true,
		})
		return string(text[:len(text)-1])
	})
)

// head returns a head without its last line.
func (s *site) head(fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nYuccahinge-Attempt-Id: f%d\r\n%s", s.path, s.requests.Add(1), fields)
}

func lines(n int) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, "a%d:1\r\n", i)
	}
	return out.String()
}

// hold sends a text and keeps the connection open until the other side closes it.
func hold(c net.Conn, parts ...string) error {
	if err := writeParts(c, parts); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

func writeParts(c net.Conn, parts []string) error {
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}
	return nil
}

// repeat sends a request and reads its answer again and again.
func repeat(c net.Conn, request ...string) error {
	in := bufio.NewReader(c)
	for {
		if err := writeParts(c, request); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Close {
			return err
		}
	}
}

// sendAlways sends a text again and again and reads nothing.
func sendAlways(c net.Conn, text []byte) error {
	for {
		if _, err := c.Write(text); err != nil {
			return err
		}
	}
}

// crowd is a number of clients with the same pattern, each of which opens another connection a pause after one has ended.
type crowd struct {
	stop context.CancelFunc
	wg   sync.WaitGroup
}

func startCrowd(ctx context.Context, s *site, addr string, p pattern, clients int, pause time.Duration) *crowd {
	ctx, stop := context.WithCancel(ctx)
	c := &crowd{stop: stop}
	for range clients {
		c.wg.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, s, addr, p)
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	return c
}

func connect(ctx context.Context, s *site, addr string, p pattern) {
	conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = p(conn, s) // the host may end any connection
}

// end closes all connections and waits for the clients.
func (c *crowd) end() {
	c.stop()
	c.wg.Wait()
}
