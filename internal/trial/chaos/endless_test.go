package chaos

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// machineKB is the memory of the smallest machines that hosts run on, in kB.
	machineKB = 184 << 10
	// endlessShare is the number of searchers with endless responses, of a hundred.
	endlessShare = 15
	largeBytes   = 3 << 20
)

// endlessSite is an entry host with a store and searchers, some of which send bytes without end.
type endlessSite struct {
	store   store.Store
	callers string
	process *os.Process
	shards  []string
}

// serveEndless answers requests on a connection. Each service has its own kind of response.
func serveEndless(c net.Conn, kind string) {
	defer c.Close()
	in := bufio.NewReader(c)
	junk := bytes.Repeat([]byte("x"), 2<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nYuccahinge-Attempt-Id: %s\r\nYuccahinge-Server-Stamp: s-%s\r\n", r.Header.Get("Yuccahinge-Attempt-Id"), r.Header.Get("Yuccahinge-Target-Instance"))
		switch kind {
		case "sound":
			_, err = io.WriteString(c, head+"Content-Length: 16\r\n\r\n0123456789abcdef")
		case "large":
			_, err = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, largeBytes, strings.Repeat("y", largeBytes))
		default:
			_, err = io.WriteString(c, head+"\r\n")
			for err == nil {
				_, err = c.Write(junk)
				time.Sleep(time.Millisecond)
			}
		}
		if err != nil {
			return
		}
	}
}

func listenFor(t *testing.T, kind string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveEndless(c, kind)
		}
	}()
	return l.Addr().String()
}

// startEndlessSite starts a host with 50 shards of two searchers, endlessShare of which are faulty, and a service with one
// searcher that has large responses.
func startEndlessSite(t *testing.T) *endlessSite {
	t.Helper()
	s := new(endlessSite)
	entries := map[string]store.Searcher{"i-large": {Service: "large", Addr: listenFor(t, "large"), Domain: "z1", Slots: 8, Generation: 1}}
	for i := range 100 {
		kind := "sound"
		if i%2 == 0 && i < 2*endlessShare {
			kind = "endless"
		}
		service := fmt.Sprint("shard-", i/2)
		if i%2 == 0 {
			s.shards = append(s.shards, service)
		}
		entries[fmt.Sprint("i-", i)] = store.Searcher{Service: service, Addr: listenFor(t, kind), Domain: "z1", Slots: 8, Generation: 1}
	}
	routes := []store.Route{
		{Name: "wide", Host: "h.example", Prefix: "/wide/", Shards: s.shards, TopK: 5, MinCoverage: 0.5, TimeoutMs: 4000, ObjectiveMs: 2000, Attempts: 2},
		{Name: "large", Host: "h.example", Prefix: "/large/", Service: "large", TimeoutMs: 4000, ObjectiveMs: 4000, Attempts: 2},
	}
	s.store.PutConfig(1, routes, append([]string{"large"}, s.shards...), 16, 1<<10)
	beat := func(n int64) {
		for id, e := range entries {
			e.Sequence = n
			s.store.PutSearcher(id, e)
		}
	}
	beat(1)
	ctx, cancel := context.WithCancel(t.Context())
	var beating sync.WaitGroup
	beating.Go(func() {
		for n := int64(2); ctx.Err() == nil; n++ {
			time.Sleep(heartbeatInterval)
			beat(n)
		}
	})
	t.Cleanup(func() {
		cancel()
		beating.Wait()
	})
	s.start(t)
	return s
}

// start starts the host and waits until it is ready.
func (s *endlessSite) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.store.Handler()}
	go func() { _ = server.Serve(l) }() // returns when the test ends
	t.Cleanup(func() { _ = server.Close() })
	ports, err := new(Experiment).freePorts(4)
	if err != nil {
		t.Fatal(err)
	}
	s.callers = ports[0]
	settings, err := json.Marshal(map[string]any{
		"cluster": "endless", "host": "e0", "domain": "z1", "callersAddr": ports[0], "peersAddr": ports[1], "operatorsAddr": ports[2],
		"platform": []string{"http://" + l.Addr().String()}, "limits": map[string]any{"replyBytes": 4 << 20},
		"forward": map[string]any{"readyAddr": ports[3], "store": l.Addr().String(), "extraRatio": 0.2, "extraSlack": 200, "extraWindowMs": 10_000, "cores": 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "e0.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildBinary(t), "entry", "--settings", file)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.process = cmd.Process
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // it was killed
		if t.Failed() {
			t.Logf("the end of the host's log:\n%s", log.Bytes()[max(0, log.Len()-4000):])
		}
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if status, _ := s.get(t.Context(), "/large/x", "warm"); status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the host is not ready after 10 s")
		}
	}
}

// get sends a request to the host and returns the status, zero for none, and the length of the body.
func (s *endlessSite) get(ctx context.Context, path, id string) (status, length int) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.callers+path, nil)
	if err != nil {
		return 0, 0
	}
	r.Host = "h.example"
	r.Header.Set("Yuccahinge-Attempt-Id", id)
	r.Header.Set("Yuccahinge-Deadline-Ms", "4000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	n, _ := io.Copy(io.Discard, resp.Body) // a body that is cut short is too short
	return resp.StatusCode, int(n)
}

// peakKB returns the peak of the host's resident memory in kB.
func (s *endlessSite) peakKB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("no peak of the memory in %s", text)
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestEndlessResponsesStayWithinTheMachine guards against a host that keeps the bytes of many responses without end until it runs out
// of memory, and against a limit that keeps sound large responses from callers.
func TestEndlessResponsesStayWithinTheMachine(t *testing.T) {
	s := startEndlessSite(t)
	var requests sync.WaitGroup
	var wide, large, largeSent atomic.Int64
	end := time.Now().Add(6 * time.Second)
	for c := range 60 {
		requests.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if status, _ := s.get(t.Context(), "/wide/x", fmt.Sprintf("w%d-%d", c, n)); status == http.StatusOK {
					wide.Add(1)
				}
			}
		})
	}
	requests.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			largeSent.Add(1)
			switch status, length := s.get(t.Context(), "/large/x", fmt.Sprint("l", n)); {
			case status == http.StatusOK && length == largeBytes:
				large.Add(1)
			case status == http.StatusOK:
				t.Errorf("a response of %d bytes looks whole, want %d", length, largeBytes)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	requests.Wait()
	peak := s.peakKB(t)
	t.Logf("peak %d MB, %d wide requests answered, %d of %d large responses", peak>>10, wide.Load(), large.Load(), largeSent.Load())
	if peak > machineKB {
		t.Errorf("the host's memory reached %d kB, a machine has %d", peak, machineKB)
	}
	if wide.Load() == 0 || large.Load()*10 < largeSent.Load()*9 {
		t.Errorf("%d wide requests answered, %d of %d large responses", wide.Load(), large.Load(), largeSent.Load())
	}
}
