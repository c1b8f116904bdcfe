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
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/cfgsvc"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
)

const (
	loopback = "127.0.0.1:0"
	// startLimit bounds the wait until a host is ready, or recovers from errors of its searchers.
	startLimit = 20 * time.Second
)

// testHost is an entry host with a platform and searchers, all in this process and on real sockets.
type testHost struct {
	platform  *cfgsvc.Platform
	searchers []*server.Searcher
	node      *Node
}

// runner is a server that runs until its context ends.
type runner interface {
	Listen() error
	Run(ctx context.Context) error
}

func startTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{platform: &cfgsvc.Platform{ListenAddr: loopback, ControlAddr: loopback}}
	runInBackground(t, h.platform)
	index := yuccahinge.Index{Version: 1, Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i := range 2 {
		id := yuccahinge.SearcherID(fmt.Sprint("s", i))
		searcher := &server.Searcher{Config: server.Config{ID: id, Listen: loopback, MedianMs: 1}}
		runInBackground(t, searcher)
		h.searchers = append(h.searchers, searcher)
		index.Searchers[id] = &yuccahinge.Searcher{Addr: searcher.Addr(), Domain: "d", Slots: 2, Connections: 25}
		index.Shards = append(index.Shards, yuccahinge.Shard{
			ID: yuccahinge.ShardID(i), From: uint32(i) * yuccahinge.HashSlots / 2, To: uint32(i+1) * yuccahinge.HashSlots / 2,
			Searchers: []yuccahinge.SearcherID{id},
		})
	}
	err := h.platform.Publish(&yuccahinge.Ticket{Number: 1, Services: map[yuccahinge.ServiceName]*yuccahinge.Service{
		"search": {Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, DeadlineMs: 500, Index: index},
		"charge": {Kind: yuccahinge.KindCharge, DeadlineMs: 500, Index: index},
	}}, false)
	if err != nil {
		t.Fatal(err)
	}
	h.startNode(t)
	return h
}

func (h *testHost) startNode(t *testing.T) {
	t.Helper()
	settings, err := config.Decode(fmt.Appendf(nil, `{"cluster":"test","host":"e0","domain":"d",
		"callersAddr":"127.0.0.1:1","peersAddr":"127.0.0.1:2","operatorsAddr":"127.0.0.1:3","platform":["http://%s"],
		"limits":{"requestBytes":4096,"replyBytes":65536,"readTimeoutMs":300},"drain":{"graceMs":0,"deadlineMs":2000}}`, h.platform.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	settings.CallersAddr, settings.PeersAddr, settings.OperatorsAddr = loopback, loopback, loopback
	h.node = &Node{Settings: settings, Version: "test"}
	if err := h.node.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	limit := time.Now().Add(startLimit)
	for {
		if status, _ := h.send(t, http.MethodGet, "/readyz", "", nil); status == http.StatusOK {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("the node did not become ready in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func runInBackground(t *testing.T, r runner) {
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

// responseBody holds the fields of any response that the tests check.
type responseBody struct {
	Error *struct {
		Code    yuccahinge.Code `json:"code"`
		Message string          `json:"message"`
		Step    yuccahinge.Step `json:"step"`
	} `json:"error"`
	Claim    yuccahinge.ClaimID  `json:"claim"`
	Outcome  yuccahinge.Outcome  `json:"outcome"`
	Coverage yuccahinge.Coverage `json:"coverage"`
}

func (h *testHost) send(t *testing.T, method, path, text string, header map[string]string) (int, responseBody) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.node.Self().CallerAddr+path, strings.NewReader(text))
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
	var b responseBody
	if err := json.Unmarshal(data, &b); err != nil {
		t.Fatalf("%s %s: response body %q is not JSON", method, path, data)
	}
	return resp.StatusCode, b
}

func TestInvalidRequestsGetSpecificErrors(t *testing.T) {
	h := startTestHost(t)
	forgedClaim := "c1~e0~" + string(h.node.Self().Incarnation) + "~9~9999999999999~00000000000000000000000000000000"
	nonMemberClaim := "c1~nobody~abc~1~9999999999999~00000000000000000000000000000000"
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
		{"ticket number above the newest", "POST", "/v1/search/search", `{"query":"q","minTicket":7,"deadlineMs":100}`, "", 503, yuccahinge.CodeUnavailable, yuccahinge.NotRun},
		{"claim for an unknown service", "POST", "/v1/claims", `{"service":"nothing","key":"k"}`, "", 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"claim without a key", "POST", "/v1/claims", `{"service":"charge"}`, "", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"charge without a claim", "POST", "/v1/charge/charge", `{"key":"k"}`, "", 428, yuccahinge.CodeClaimRequired, yuccahinge.NotRun},
		{"charge with a malformed claim", "POST", "/v1/charge/charge", `{"key":"k"}`, "x", 400, yuccahinge.CodeInvalid, yuccahinge.NotRun},
		{"claim that was never granted", "POST", "/v1/charge/charge", `{"key":"k"}`, forgedClaim, 400, yuccahinge.CodeNotFound, yuccahinge.NotRun},
		{"claim of a host that is not a member", "POST", "/v1/charge/charge", `{"key":"k"}`, nonMemberClaim, 504, "", yuccahinge.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, b := h.send(t, tt.method, tt.path, tt.body, map[string]string{"Claim": tt.claim})
			var code yuccahinge.Code
			if b.Error != nil {
				code = b.Error.Code
			}
			if status != tt.status || code != tt.code || b.Outcome != tt.outcome {
				t.Errorf("got %d %q %q, want %d %q %q: %+v", status, code, b.Outcome, tt.status, tt.code, tt.outcome, b.Error)
			}
			if b.Error != nil && (b.Error.Message == "" || b.Error.Step == "") {
				t.Errorf("error lacks a message or a step: %+v", b.Error)
			}
		})
	}
	h.expectComplete(t)
	for _, searcher := range h.searchers {
		if c := searcher.Counters(); len(c.RunsByKey) > 0 {
			t.Errorf("refused charges ran: %v", c.RunsByKey)
		}
	}
}

func (h *testHost) expectComplete(t *testing.T) {
	t.Helper()
	status, b := h.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil)
	if status != http.StatusOK || b.Outcome != yuccahinge.Complete {
		t.Errorf("a valid search got %d %q: %+v", status, b.Outcome, b.Error)
	}
}

func TestInvalidRepliesOfSearchersAreNotMerged(t *testing.T) {
	for name, fault := range map[string]func(*server.Faults){
		"wrong echo": func(f *server.Faults) { f.WrongEcho = true },
		"truncated":  func(f *server.Faults) { f.Truncate = true },
		"huge":       func(f *server.Faults) { f.HugeReply = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := startTestHost(t)
			h.searchers[1].UpdateFaults(fault)
			status, b := h.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil)
			if status != http.StatusOK || b.Outcome != yuccahinge.Partial || len(b.Coverage.Lacking) != 1 || b.Coverage.Lacking[0].Shard != 1 {
				t.Errorf("got %d %q, coverage %+v", status, b.Outcome, b.Coverage)
			}
			h.searchers[1].UpdateFaults(func(f *server.Faults) { *f = server.Faults{} })
			h.eventuallyComplete(t)
		})
	}
}

// eventuallyComplete sends searches until one is complete. The searcher stays ejected for some time after its errors.
func (h *testHost) eventuallyComplete(t *testing.T) {
	t.Helper()
	limit := time.Now().Add(startLimit)
	for time.Now().Before(limit) {
		if _, b := h.send(t, http.MethodPost, "/v1/search/search", `{"query":"q"}`, nil); b.Outcome == yuccahinge.Complete {
			return
		}
	}
	t.Error("no search was complete in time after the fault ended")
}

func TestSlowRequestTimesOutWithoutDelayingOthers(t *testing.T) {
	h := startTestHost(t)
	conn, err := net.Dial("tcp", h.node.Self().CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /v1/search/search HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n{\"qu"); err != nil {
		t.Fatal(err)
	}
	h.expectComplete(t)
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(reply, []byte(" 400 ")) || !bytes.Contains(reply, []byte("did not arrive whole")) {
		t.Errorf("the slow caller got %q", reply)
	}
}

func TestConnectionWithoutPreambleIsRefused(t *testing.T) {
	h := startTestHost(t)
	conn, err := net.Dial("tcp", h.node.Self().PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if reply, _ := io.ReadAll(conn); len(reply) > 0 {
		t.Errorf("a connection without the preamble got the reply %q", reply)
	}
	h.expectComplete(t)
}

func TestPortInUseNamesTheSetting(t *testing.T) {
	h := startTestHost(t)
	settings := *h.node.Settings
	settings.PeersAddr = h.node.Self().PeerAddr
	n := &Node{Settings: &settings}
	err := n.Listen(t.Context())
	if err == nil || !strings.Contains(err.Error(), "peersAddr "+settings.PeersAddr) {
		t.Errorf("error is %v, want one that names peersAddr", err)
	}
}
