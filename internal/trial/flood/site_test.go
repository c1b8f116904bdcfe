package flood

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/cfgsvc"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/server"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

// The legal limits of callers.
const (
	headerBytes = 16_384
	bodyBytes   = 262_144
	headerMs    = 3_000
	idleMs      = 15_000
)

// site is an entry host with what it needs to answer requests.
type site struct {
	*host
	// path is that of an ordinary request.
	path string
	// ordinary is the body of an ordinary request.
	ordinary string
	requests atomic.Int64
}

// startEntry starts a host that forwards requests (yuccahinge entry), with a store and two searchers.
func startEntry(t *testing.T, limits map[string]any) *site {
	t.Helper()
	return startEntryWithin(t, limits, processLimits{})
}

// startEntryWithin starts such a host as a process with limits of its own.
func startEntryWithin(t *testing.T, limits map[string]any, process processLimits) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var db store.Store
	entries := make(map[string]store.Searcher)
	var running sync.WaitGroup
	for i := range 2 {
		l := listen(t)
		s := &origin.Server{ID: fmt.Sprint("i-", i), Service: "read", Slots: 64, ServiceTime: 5 * time.Millisecond, RunLog: new(origin.RunLog)}
		running.Go(func() { s.Serve(ctx, l) })
		entries[s.ID] = store.Searcher{Service: "read", Addr: l.Addr().String(), Domain: "z1", Slots: s.Slots, Generation: 1}
	}
	db.PutLimitedConfig(1, []store.Route{
		{Name: "read", Host: "h.example", Prefix: "/read/", Service: "read", TimeoutMs: 20_000, ObjectiveMs: 2000, Attempts: 2},
	}, []string{"read"}, 200, store.CallerLimits{HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderMs: headerMs, IdleMs: idleMs})
	beat := func(n int64) {
		for id, e := range entries {
			e.Sequence = n
			db.PutSearcher(id, e)
		}
	}
	beat(1)
	running.Go(func() {
		for n := int64(2); ctx.Err() == nil; n++ {
			select {
			case <-ctx.Done():
			case <-time.After(400 * time.Millisecond):
				beat(n)
			}
		}
	})
	l := listen(t)
	server := &http.Server{Handler: db.Handler()}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	s := &site{path: "/read/x"}
	s.host = startHost(t, "entry", map[string]any{
		"platform": []string{"http://" + l.Addr().String()}, "limits": limits,
		"forward": map[string]any{"store": l.Addr().String(), "extraRatio": 0.2, "extraSlack": 20, "cores": 1},
	}, process)
	eventually(t, "an ordinary request is answered", s.answersOrdinary)
	return s
}

// startServe starts a host of the product's own front door (yuccahinge serve), with a platform and a searcher.
func startServe(t *testing.T, limits map[string]any) *site {
	t.Helper()
	return startServeWithin(t, limits, processLimits{})
}

// startServeWithin starts such a host as a process with limits of its own.
func startServeWithin(t *testing.T, limits map[string]any, process processLimits) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	platform := &cfgsvc.Platform{ListenAddr: "127.0.0.1:0", ControlAddr: "127.0.0.1:0"}
	searcher := &server.Searcher{Config: server.Config{ID: "s0", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 64, MaxConnections: 200, Seed: 1}}
	for _, s := range []interface {
		Listen() error
		Run(ctx context.Context) error
	}{platform, searcher} {
		if err := s.Listen(); err != nil {
			t.Fatal(err)
		}
		running.Go(func() { _ = s.Run(ctx) }) // returns when the test ends
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	err := platform.Publish(&yuccahinge.Ticket{Number: 1, Services: map[yuccahinge.ServiceName]*yuccahinge.Service{"read": {
		Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, DeadlineMs: 5000,
		Index: yuccahinge.Index{
			Version:   1,
			Shards:    []yuccahinge.Shard{{To: yuccahinge.HashSlots, Searchers: []yuccahinge.SearcherID{"s0"}}},
			Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{"s0": {Addr: searcher.Addr(), Domain: "z1", Slots: 64, Connections: 200}},
		},
	}}}, false)
	if err != nil {
		t.Fatal(err)
	}
	limits["requestBytes"] = bodyBytes
	s := &site{path: "/v1/search/read", ordinary: `{"query":{"text":"permit"}}`}
	s.host = startHost(t, "serve", map[string]any{"platform": []string{"http://" + platform.Addr()}, "limits": limits}, process)
	eventually(t, "an ordinary request is answered", s.answersOrdinary)
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// client opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

// answersOrdinary reports whether the host answers an ordinary request.
func (s *site) answersOrdinary() bool {
	status, _ := s.sendOrdinary()
	return status == http.StatusOK
}

// sendOrdinary sends an ordinary request and returns the status.
func (s *site) sendOrdinary() (int, error) {
	return s.sendWith(client, strings.NewReader(s.ordinary), int64(len(s.ordinary)))
}

func (s *site) sendWith(client *http.Client, body io.Reader, length int64) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.callers+s.path, body)
	if err != nil {
		return 0, err
	}
	r.Host, r.ContentLength = "h.example", length
	r.Header.Set("Yuccahinge-Attempt-Id", fmt.Sprint("r", s.requests.Add(1)))
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
