package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	memoryMb = 284
	maxFds   = 4100
	// beatInterval is the interval of the searchers' heartbeats.
	beatInterval = 1200 * time.Millisecond
	// readyTimeout bounds the start of a host.
	readyTimeout = 15 * time.Second
	headerBytes  = 16_384
	bodyBytes    = 262_144
	headerMs     = 3_000
	idleMs       = 15_000
	callerHost   = "pupu76.example"
	// serviceConns is the number of connections that a searcher accepts.
	serviceConns = 44
	// settle is the time before the first request, and that after the last one.
	settle = 3 * time.Second
)

// bounds holds the bounds of the site kontspis-hladanie.
func bounds() map[string]any {
	return map[string]any{"drain_ms": 3000, "config_apply_ms": 3000, "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10}
}

// callerLimits returns the limits on callers of the same site.
func callerLimits() store.CallerLimits {
	return store.CallerLimits{HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderMs: headerMs, IdleMs: idleMs}
}

// system is a small deployment: the store, searchers and entry hosts.
type system struct {
	record    *record
	dir       string
	net       string // the first three parts of the loopback addresses
	db        store.Store
	storeAddr string
	hosts     []*host
	stop      context.CancelFunc
	ctx       context.Context
	wg        sync.WaitGroup

	mu        sync.Mutex
	searchers []*searcher
}

// host is an entry host, which runs as a process.
type host struct {
	name, zone, ip string
	settings       string
	log            string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (h *host) front() string { return h.ip + ":8104" }
func (h *host) peers() string { return h.ip + ":8106" }
func (h *host) ready() string { return h.ip + ":8108" }

// newSystem starts the store. The function end ends everything that was started.
func newSystem(ctx context.Context, r *record) (*system, error) {
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	s := &system{record: r, dir: dir, stop: stop, ctx: ctx}
	s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	l, err := net.Listen("tcp", s.net+".250:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	server := &http.Server{Handler: s.db.Handler()}
	s.wg.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.wg.Go(s.beat)
	return s, nil
}

// addHosts adds entry hosts, one for each zone named. None is started.
func (s *system) addHosts(zones ...string) {
	for _, zone := range zones {
		n := len(s.hosts) + 1
		s.hosts = append(s.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", s.net, n)})
	}
}

func (s *system) writeSettings(h *host) error {
	text, err := os.ReadFile("deploy/entry.json")
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range s.hosts[:min(3, len(s.hosts))] {
		seeds = append(seeds, other.peers())
	}
	fields := map[string]any{
		"node": h.name, "zone": h.zone, "ip": h.ip, "seeds": seeds,
		"listen":   map[string]any{"front": h.front(), "control": h.peers(), "ready_addr": h.ready()},
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMb, "max_fds": maxFds, "link_mbps": 1000.0},
		"platform": map[string]any{"addr": s.storeAddr},
		"bounds":   bounds(),
	}
	h.settings = filepath.Join(s.dir, h.name+".json")
	h.log = filepath.Join(s.dir, h.name+".log")
	return os.WriteFile(h.settings, []byte(render(string(text), fields)), 0o600)
}

// start starts the process of a host with the command of the deploy file.
func (s *system) start(h *host) error {
	if h.settings == "" {
		if err := s.writeSettings(h); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/yuccahinge", "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCAHINGE_NODE_FILE=" + h.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = c, ended
	h.mu.Unlock()
	s.record.add("%s starts at %s", h.name, h.ip)
	go func() {
		err := c.Wait()
		s.record.add("%s has ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (s *system) startAll(ctx context.Context) error {
	for _, h := range s.hosts {
		if err := s.start(h); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if h.isReady() {
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", h.name)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasEnded reports whether the process of a host has ended.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// end ends all processes and stand-ins.
func (s *system) end() {
	for _, h := range s.hosts {
		if h.command == nil || h.hasEnded() {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.ended
	}
	s.stop()
	s.wg.Wait()
	_ = os.RemoveAll(s.dir) // what stays is a temporary folder
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
