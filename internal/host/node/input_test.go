package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/back"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/plat"
)

const (
	loopback = "127.0.0.1:0"
	// startLimit bounds the wait for a host to be ready.
	startLimit = 20 * time.Second
)

// site is one entry host with a platform and searchers, all in this process on real sockets.
type site struct {
	platform  *plat.Platform
	searchers []*back.Searcher
	node      *Node
}

// runner is a part that runs until its context ends.
type runner interface {
	Listen() error
	Run(ctx context.Context) error
}

func startSite(t *testing.T) *site {
	t.Helper()
	s := &site{platform: &plat.Platform{ListenAddr: loopback, ControlAddr: loopback}}
	background(t, s.platform)
	index := yuccahinge.Index{Version: 1, Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i := range 2 {
		id := yuccahinge.SearcherID(fmt.Sprint("s", i))
		one := &back.Searcher{Config: back.Config{ID: id, Listen: loopback, MedianMs: 1}}
		background(t, one)
		s.searchers = append(s.searchers, one)
		index.Searchers[id] = &yuccahinge.Searcher{Addr: one.Addr(), Domain: "d", Slots: 2, Connections: 25}
		index.Shards = append(index.Shards, yuccahinge.Shard{
			ID: yuccahinge.ShardID(i), From: uint32(i) * yuccahinge.KeySpace / 2, To: uint32(i+1) * yuccahinge.KeySpace / 2,
			Searchers: []yuccahinge.SearcherID{id},
		})
	}
	err := s.platform.Publish(&yuccahinge.Ticket{Number: 1, Services: map[yuccahinge.ServiceName]*yuccahinge.Service{
		"search": {Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, DeadlineMs: 500, Index: index},
		"charge": {Kind: yuccahinge.KindCharge, DeadlineMs: 500, Index: index},
	}}, false)
	if err != nil {
		t.Fatal(err)
	}
	s.startNode(t)
	return s
}

func (s *site) startNode(t *testing.T) {
	t.Helper()
	settings, err := config.Decode(fmt.Appendf(nil, `{"cluster":"test","host":"e0","domain":"d",
		"callersAddr":"127.0.0.1:1","peersAddr":"127.0.0.1:2","operatorsAddr":"127.0.0.1:3","platform":["http://%s"],
		"limits":{"requestBytes":4096,"replyBytes":65536,"readTimeoutMs":300},"drain":{"graceMs":0,"deadlineMs":2000}}`, s.platform.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	settings.CallersAddr, settings.PeersAddr, settings.OperatorsAddr = loopback, loopback, loopback
	s.node = &Node{Settings: settings, Version: "test"}
	if err := s.node.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the node ended with %v", err)
		}
	})
	limit := time.Now().Add(startLimit)
	for {
		if status, _ := s.send(t, http.MethodGet, "/readyz", "", nil); status == http.StatusOK {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("the node is not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func background(t *testing.T, r runner) {
	t.Helper()
	if err := r.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// body is what the test looks at in any answer.
type body struct {
	Error *struct {
		Code    yuccahinge.Code `json:"code"`
		Message string          `json:"message"`
		Step    yuccahinge.Step `json:"step"`
	} `json:"error"`
	Claim    yuccahinge.ClaimID  `json:"claim"`
	Outcome  yuccahinge.Outcome  `json:"outcome"`
	Coverage yuccahinge.Coverage `json:"coverage"`
}

func (s *site) send(t *testing.T, method, path, text string, header map[string]string) (int, body) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.node.Self().CallerAddr+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		t.Fatalf("%s %s: answer %q is not JSON", method, path, data)
	}
	return resp.StatusCode, b
}

func TestBadInputOfCallersIsRefusedClearly(t *testing.T) {
	s := startSite(t)
	fromNowhere := "c1~e0~" + string(s.node.Self().Incarnation) + "~9~9999999999999~00000000000000000000000000000000"
	outside := "c1~nobody~abc~1~9999999999999~00000000000000000000000000000000"
	tests := []struct {
		name, method, path, body, claim string
		status                          int
		code                            yuccahinge.Code
		outcome                         yuccahinge.Outcome
	}{
		{"malformed", "POST", "/v1/search/search", `{"query":`, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"empty", "POST", "/v1/search/search", ``, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"oversized", "POST", "/v1/search/search", `{"query":"` + strings.Repeat("x", 5000) + `"}`, "", 413, yuccahinge.CodeTooLarge, yuccahinge.NotRun},
		{"unknown service", "POST", "/v1/search/nothing", `{"query":"q"}`, "", 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"search of a charge service", "POST", "/v1/search/charge", `{"query":"q"}`, "", 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"negative deadline", "POST", "/v1/search/search", `{"query":"q","deadlineMs":-5}`, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"huge deadline", "POST", "/v1/search/search", `{"query":"q","deadlineMs":1e15}`, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"ticket from the future", "POST", "/v1/search/search", `{"query":"q","minTicket":7,"deadlineMs":100}`, "", 503, yuccahinge.CodeUnavailable, yuccahinge.NotRun},
		{"claim for an unknown service", "POST", "/v1/claims", `{"service":"nothing","key":"k"}`, "", 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"claim without a key", "POST", "/v1/claims", `{"service":"charge"}`, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"charge without a claim", "POST", "/v1/charge/charge", `{"key":"k"}`, "", 428, yuccahinge.CodeClaimRequired, yuccahinge.NotRun},
		{"charge with a malformed claim", "POST", "/v1/charge/charge", `{"key":"k"}`, "x", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"claim from nowhere", "POST", "/v1/charge/charge", `{"key":"k"}`, fromNowhere, 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"claim of a host outside the roster", "POST", "/v1/charge/charge", `{"key":"k"}`, outside, 504, "", yuccahinge.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, b := s.send(t, tt.method, tt.path, tt.body, map[string]string{"Claim": tt.claim})
			var code yuccahinge.Code
			if b.Error != nil {
				code = b.Error.Code
			}
			if status != tt.status || code != tt.code || b.Outcome != tt.outcome {
				t.Errorf("got %d %q %q, want %d %q %q: %+v", status, code, b.Outcome, tt.status, tt.code, tt.outcome, b.Error)
			}
			if b.Error != nil && (b.Error.Message == "" || b.Error.Step == "") {
				t.Errorf("error says too little: %+v", b.Error)
			}
		})
	}
	s.wantComplete(t)
	for _, one := range s.searchers {
		if c := one.Counters(); len(c.RunsByKey) > 0 {
			t.Errorf("refused charges ran: %v", c.RunsByKey)
		}
	}
}

func (s *site) wantComplete(t *testing.T) {
	t.Helper()
	status, b := s.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil)
	if status != http.StatusOK || b.Outcome != yuccahinge.Complete {
		t.Errorf("an ordinary search got %d %q: %+v", status, b.Outcome, b.Error)
	}
}

func TestBadRepliesOfSearchersNeverCount(t *testing.T) {
	for name, fault := range map[string]func(*back.Faults){
		"wrong echo": func(f *back.Faults) { f.WrongEcho = true },
		"truncated":  func(f *back.Faults) { f.Truncate = true },
		"huge":       func(f *back.Faults) { f.HugeReply = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t)
			s.searchers[1].Fault(fault)
			status, b := s.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil)
			if status != http.StatusOK || b.Outcome != yuccahinge.Partial || len(b.Coverage.Lacking) != 1 || b.Coverage.Lacking[0].Shard != 1 {
				t.Errorf("got %d %q, coverage %+v", status, b.Outcome, b.Coverage)
			}
			s.searchers[1].Fault(func(f *back.Faults) { *f = back.Faults{} })
			s.eventuallyComplete(t)
		})
	}
}

// eventuallyComplete allows for the time in which a searcher is avoided after its errors.
func (s *site) eventuallyComplete(t *testing.T) {
	t.Helper()
	limit := time.Now().Add(startLimit)
	for time.Now().Before(limit) {
		if _, b := s.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil); b.Outcome == yuccahinge.Complete {
			return
		}
	}
	t.Error("the service did not recover")
}

func TestSlowCallerIsCutOffAndOthersAreServed(t *testing.T) {
	s := startSite(t)
	conn, err := net.Dial("tcp", s.node.Self().CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /v1/search/search HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n{\"qu"); err != nil {
		t.Fatal(err)
	}
	s.wantComplete(t)
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(reply, []byte(" 400 ")) || !bytes.Contains(reply, []byte("did not arrive whole")) {
		t.Errorf("the slow caller got %q", reply)
	}
}

func TestForeignPeerIsRefusedAndNothingElseIsHarmed(t *testing.T) {
	s := startSite(t)
	conn, err := net.Dial("tcp", s.node.Self().PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if reply, _ := io.ReadAll(conn); len(reply) > 0 {
		t.Errorf("a foreign peer got %q", reply)
	}
	s.wantComplete(t)
}

func TestPortInUseNamesTheSetting(t *testing.T) {
	s := startSite(t)
	again := *s.node.Settings
	again.PeersAddr = s.node.Self().PeerAddr
	n := &Node{Settings: &again}
	err := n.Listen(t.Context())
	if err == nil || !strings.Contains(err.Error(), "peersAddr "+again.PeersAddr) {
		t.Errorf("error is %v, want one that names peersAddr", err)
	}
}
