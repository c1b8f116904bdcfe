package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

func startSearcher(t *testing.T, c Config) *Searcher {
	t.Helper()
	c.ID, c.Listen = "s1", "127.0.0.1:0"
	s := &Searcher{Config: c}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	return s
}

func newClient(t *testing.T, h2c bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!h2c)
	protocols.SetUnencryptedHTTP2(h2c)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func newRequest(query string) *yuccahinge.ShardRequest {
	return &yuccahinge.ShardRequest{
		RequestID: "r", Attempt: 1, Service: "recipes", Shard: 3, IndexVersion: 7,
		Query: json.RawMessage(`"` + query + `"`), DeadlineMs: 5000,
	}
}

func post(ctx context.Context, c *http.Client, s *Searcher, path string, in, out any) (int, error) {
	body, _ := json.Marshal(in)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// eventually polls the counters for five seconds and fails the test if they never satisfy the condition.
func eventually(t *testing.T, s *Searcher, condition string, holds func(c Counters) bool) {
	t.Helper()
	for range 1000 {
		if holds(s.Counters()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s; counters %+v", condition, s.Counters())
}

func TestQueryReturnsExpectedReply(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		s := startSearcher(t, Config{MedianMs: 1})
		r := newRequest("broth")
		var reply yuccahinge.ShardReply
		status, err := post(t.Context(), newClient(t, h2c), s, "/v1/query", r, &reply)
		if err != nil || status != http.StatusOK {
			t.Fatalf("h2c %v: status %d, error %v", h2c, status, err)
		}
		if reply.Outcome != yuccahinge.Ran || reply.Shard != 3 || reply.IndexVersion != 7 || reply.Attempt != 1 {
			t.Fatalf("h2c %v: reply %+v", h2c, reply)
		}
		got, _ := json.Marshal(reply.Hits)
		want, _ := json.Marshal(Hits(r, defaultHits))
		if !bytes.Equal(got, want) {
			t.Fatalf("hits %s, want %s", got, want)
		}
	}
}

func TestExpirySkipsHoliday(t *testing.T) {
	r := newRequest("permit")
	before := Hits(r, 1)
	var doc Document
	_ = json.Unmarshal(before[0].Doc, &doc)
	r.Calendar = &yuccahinge.Calendar{Holidays: []string{doc.Expires}}
	var moved Document
	_ = json.Unmarshal(Hits(r, 1)[0].Doc, &moved)
	if moved.Expires <= doc.Expires {
		t.Fatalf("expiry date %s, want one after the holiday %s", moved.Expires, doc.Expires)
	}
}

func TestRefusedQueryIsNotRun(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		reason yuccahinge.Reason
	}{
		{"drain", Faults{Drain: true}, yuccahinge.ReasonDraining},
		{"version", Faults{Versions: []yuccahinge.IndexVersion{6}}, yuccahinge.ReasonVersionUnavailable},
		{"shed", Faults{Shed: true}, yuccahinge.ReasonShed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSearcher(t, Config{Faults: tt.faults})
			var reply yuccahinge.ShardReply
			status, err := post(t.Context(), newClient(t, false), s, "/v1/query", newRequest("q"), &reply)
			if err != nil || status != http.StatusServiceUnavailable {
				t.Fatalf("status %d, error %v", status, err)
			}
			if reply.Outcome != yuccahinge.NotRun || reply.Reason != tt.reason || reply.RequestID != "r" {
				t.Fatalf("reply %+v", reply)
			}
			if runs := s.Counters().Runs; runs != 0 {
				t.Fatalf("%d runs, want 0", runs)
			}
		})
	}
}

func TestFullQueueShedsRequest(t *testing.T) {
	s := startSearcher(t, Config{Slots: 1, MaxQueued: 1, MedianMs: 60_000})
	client := newClient(t, false)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	noDeadline := *newRequest("q")
	noDeadline.DeadlineMs = 0
	for range 2 {
		go func() { _, _ = post(ctx, client, s, "/v1/query", &noDeadline, new(yuccahinge.ShardReply)) }()
	}
	eventually(t, s, "one request running, one queued", func(c Counters) bool { return c.Runs == 1 && c.MaxQueued == 1 })
	var reply yuccahinge.ShardReply
	if _, err := post(t.Context(), client, s, "/v1/query", &noDeadline, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Outcome != yuccahinge.NotRun || reply.Reason != yuccahinge.ReasonShed {
		t.Fatalf("reply %+v", reply)
	}
	stop()
	eventually(t, s, "both requests canceled", func(c Counters) bool { return c.CanceledQueued+c.CanceledRunning == 2 })
}

func TestCanceledRequestReleasesSlot(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		s := startSearcher(t, Config{Slots: 1, MedianMs: 60_000})
		client := newClient(t, h2c)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _, _ = post(ctx, client, s, "/v1/query", newRequest("q"), new(yuccahinge.ShardReply)) }()
		eventually(t, s, "running", func(c Counters) bool { return c.Runs == 1 })
		stop()
		eventually(t, s, "cancelled", func(c Counters) bool { return c.CanceledRunning == 1 })
		if running, _ := s.current.Load().slots.usage(); running > 1 {
			t.Fatalf("%d requests running after the cancellation", running)
		}
	}
}

func TestConnectionLimitRefusesConnection(t *testing.T) {
	s := startSearcher(t, Config{MaxConnections: 1, MedianMs: 1})
	first := newClient(t, false)
	if _, err := post(t.Context(), first, s, "/v1/query", newRequest("q"), new(yuccahinge.ShardReply)); err != nil {
		t.Fatal(err)
	}
	if _, err := post(t.Context(), newClient(t, false), s, "/v1/query", newRequest("q"), new(yuccahinge.ShardReply)); err == nil {
		t.Fatal("a connection above the limit was served")
	}
	eventually(t, s, "refused", func(c Counters) bool { return c.RefusedConnections >= 1 && c.MaxConnections == 1 })
}

func TestCrashClosesConnectionsAndRestarts(t *testing.T) {
	s := startSearcher(t, Config{MedianMs: 1, RestartMs: 1, Faults: Faults{CrashOn: "deadly"}})
	client := newClient(t, false)
	if _, err := post(t.Context(), client, s, "/v1/query", newRequest("deadly"), new(yuccahinge.ShardReply)); err == nil {
		t.Fatal("a crashing searcher sent a reply")
	}
	eventually(t, s, "crashed", func(c Counters) bool { return c.Crashes == 1 })
	for range 100 {
		var reply yuccahinge.ShardReply
		if _, err := post(t.Context(), client, s, "/v1/query", newRequest("q"), &reply); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the searcher did not restart after the crash")
}

func TestChargeCountsRunsByKey(t *testing.T) {
	s := startSearcher(t, Config{MedianMs: 1})
	call := yuccahinge.ChargeCall{RequestID: "r", Claim: "c", Key: "invoice-7"}
	for range 2 {
		var reply yuccahinge.ChargeReply
		if _, err := post(t.Context(), newClient(t, false), s, "/v1/charge", call, &reply); err != nil {
			t.Fatal(err)
		}
	}
	c := s.Counters()
	if c.RunsByKey["invoice-7"] != 2 || c.RunsByClaim["c"] != 2 {
		t.Fatalf("counters %+v", c)
	}
}

func TestTruncateAndWrongEcho(t *testing.T) {
	s := startSearcher(t, Config{MedianMs: 1, Faults: Faults{Truncate: true}})
	client := newClient(t, false)
	if _, err := post(t.Context(), client, s, "/v1/query", newRequest("q"), new(yuccahinge.ShardReply)); err == nil {
		t.Fatal("a truncated reply was decoded without an error")
	}
	s.UpdateFaults(func(f *Faults) { *f = Faults{WrongEcho: true} })
	var reply yuccahinge.ShardReply
	if _, err := post(t.Context(), client, s, "/v1/query", newRequest("q"), &reply); err != nil || reply.Attempt == 1 {
		t.Fatalf("reply %+v, error %v", reply, err)
	}
}

func TestControlKeepsAbsentFaults(t *testing.T) {
	s := startSearcher(t, Config{Faults: Faults{Drain: true}})
	r, _ := http.NewRequest(http.MethodPost, "/control", strings.NewReader(`{"loadReport":"lie"}`))
	w := &discardWriter{header: http.Header{}}
	s.ControlHandler().ServeHTTP(w, r)
	if f := s.faults.Load(); !f.Drain || f.LoadReport != ReportIdle {
		t.Fatalf("faults %+v", f)
	}
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func TestLoadReportsNameTheMaxRate(t *testing.T) {
	s := startSearcher(t, Config{MedianMs: 1})
	client := newClient(t, false)
	for body, want := range map[string]bool{`{"maxRate":2.5}`: true, `{"maxRate":null}`: false} {
		r, _ := http.NewRequest(http.MethodPost, "/control", strings.NewReader(body))
		s.ControlHandler().ServeHTTP(&discardWriter{header: http.Header{}}, r)
		var reply yuccahinge.ShardReply
		if _, err := post(t.Context(), client, s, "/v1/query", newRequest("q"), &reply); err != nil || (reply.Load.MaxRate != nil) != want {
			t.Errorf("%s: load report %+v, error %v", body, reply.Load, err)
		}
	}
}
