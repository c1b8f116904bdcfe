package proof

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

// rude is a searcher that counts the charges it reads by their key, answers the first requests of each connection,
// and closes the connection under the next one.
type rude struct {
	addr string
	// polite is the number of requests that are answered on each connection.
	polite int
	// reset breaks connections with a reset in place of an orderly close.
	reset bool

	mu   sync.Mutex
	runs map[string]int
}

func newRude(t *testing.T, polite int, reset bool) *rude {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rude{addr: l.Addr().String(), polite: polite, reset: reset, runs: make(map[string]int)}
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

func (s *rude) serve(c *net.TCPConn) {
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
		if n >= s.polite {
			if s.reset {
				_ = c.SetLinger(0)
			}
			return
		}
		body, _ := json.Marshal(yuccahinge.ChargeReply{RequestID: charge.RequestID, Claim: charge.Claim, Outcome: yuccahinge.Ran})
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func (s *rude) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

func TestTheTransportSendsNoChargeTwice(t *testing.T) {
	for name, c := range map[string]struct {
		polite int
		reset  bool
		want   yuccahinge.Outcome
	}{
		"closed when reused":         {1, false, yuccahinge.Ran},
		"reset when reused":          {1, true, yuccahinge.Ran},
		"closed under every request": {0, false, yuccahinge.Unknown},
		"reset under every request":  {0, true, yuccahinge.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			searcher := newRude(t, c.polite, c.reset)
			for _, one := range s.services[billing].Index.Searchers {
				one.Addr = searcher.addr
			}
			s.publishEverywhere()
			for i := range 30 {
				key := fmt.Sprintf("k%d", i)
				claim, _ := s.mustClaim(s.hosts[i%3], key)
				for j := range s.hosts {
					mustAnswer(t, s.hosts[(i+j)%3].charge(t.Context(), claim, key), c.want)
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
