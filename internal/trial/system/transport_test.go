package system

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// closingServer is a searcher that counts the charges that it receives by key. It answers the first requests of each
// connection, and closes the connection instead of answering the next one.
type closingServer struct {
	addr string
	// answered is the number of requests that are answered on each connection.
	answered int
	// reset makes the server reset connections instead of closing them with a FIN.
	reset bool

	mu   sync.Mutex
	runs map[string]int
}

func newClosingServer(t *testing.T, answered int, reset bool) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &closingServer{addr: l.Addr().String(), answered: answered, reset: reset, runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *closingServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var charge yuccahinge.ChargeCall
		if err := json.NewDecoder(req.Body).Decode(&charge); err != nil {
			return
		}
		s.count(charge.Key)
		if n >= s.answered {
			if s.reset {
				_ = c.SetLinger(0)
			}
			return
		}
		body, _ := json.Marshal(yuccahinge.ChargeReply{RequestID: charge.RequestID, Claim: charge.Claim, Outcome: yuccahinge.Ran})
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func (s *closingServer) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

func TestTransportDoesNotResendCharges(t *testing.T) {
	for name, c := range map[string]struct {
		answered int
		reset    bool
		want     yuccahinge.Outcome
	}{
		"closed when reused":         {1, false, yuccahinge.Ran},
		"reset when reused":          {1, true, yuccahinge.Ran},
		"closed under every request": {0, false, yuccahinge.Unknown},
		"reset under every request":  {0, true, yuccahinge.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 3)
			searcher := newClosingServer(t, c.answered, c.reset)
			for _, one := range s.services[billing].Index.Searchers {
				one.Addr = searcher.addr
			}
			s.publishEverywhere()
			for i := range 30 {
				key := fmt.Sprintf("k%d", i)
				claim, _ := s.mustClaim(s.hosts[i%3], key)
				for j := range s.hosts {
					mustOutcome(t, s.hosts[(i+j)%3].charge(t.Context(), claim, key), c.want)
				}
			}
			searcher.mu.Lock()
			defer searcher.mu.Unlock()
			for key, n := range searcher.runs {
				if n != 1 {
					t.Errorf("key %s ran %d times, want once", key, n)
				}
			}
			if len(searcher.runs) != 30 {
				t.Errorf("%d keys ran, want 30", len(searcher.runs))
			}
		})
	}
}
