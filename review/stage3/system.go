package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// memoryMb, heartbeat and the limits are those of the site kontspis-hladanie.
	memoryMb    = 284
	heartbeat   = 1200 * time.Millisecond
	bodyBytes   = 262_144
	headerBytes = 16_384
	hostName    = "h.example"
	// settleFor is how long the hosts serve before anything happens.
	settleFor = 3 * time.Second
)

// system is a store, searchers and entry hosts.
type system struct {
	record    *record
	root, dir string
	store     store.Store
	storeAddr string
	mu        sync.Mutex
	searchers []*searcher // guarded by mu once beat runs
	hosts     []*host
	services  []map[string]any
	routes    []map[string]any
}

func newSystem(ctx context.Context, r *record, root string) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, root: root, dir: dir}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	server := &http.Server{Handler: s.store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return s, nil
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	_ = os.RemoveAll(s.dir) // a temporary folder
}

// addService adds a service with a searcher like the template in each of the zones.
func (s *system) addService(ctx context.Context, template *searcher, connections int, zones ...string) error {
	s.services = append(s.services, map[string]any{"name": template.service, "health_path": "/health", "max_conns": connections, "protocol": "h1", "tls": false})
	for i, zone := range zones {
		one := &searcher{
			id: fmt.Sprintf("i-%s-%d", template.service, i), service: template.service, zone: zone, slots: template.slots,
			work: template.work, records: template.records, born: time.Now().UnixMilli(),
		}
		if err := one.serve(ctx); err != nil {
			return err
		}
		s.searchers = append(s.searchers, one)
	}
	return nil
}

// addSweep adds a route to all shards with the limits of the request expiry-sweep.
func (s *system) addSweep(name string, shards []string) {
	s.routes = append(s.routes, map[string]any{
		"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": "safe", "timeout_ms": 600, "slo_ms": 100, "priority": 1,
		"gather": shards, "attempts": 2, "top_k": 50, "min_share": 0.89,
	})
}

// putConfig writes the operator's configuration.
func (s *system) putConfig(version int) {
	s.put("op/config", map[string]any{
		"version": version, "routes": s.routes, "services": s.services,
		"limits": map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (s *system) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: the values hold only types that JSON can encode
	}
	s.store.Put(key, text)
}

// beat writes the entries of the searchers at each heartbeat until ctx ends.
func (s *system) beat(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		s.mu.Lock()
		for _, one := range s.searchers {
			if !one.isDark.Load() {
				s.putEntry(one, n)
			}
		}
		s.mu.Unlock()
		sleep(ctx, heartbeat)
	}
}

func (s *system) putEntry(one *searcher, sequence int) {
	s.put("servers/"+one.id, map[string]any{
		"service": one.service, "addr": one.addr, "zone": one.zone, "version": "v1", "max_concurrency": one.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": sequence, "born": one.born,
	})
}

// replace puts a searcher in the place of one that has ended, and writes its entry.
func (s *system) replace(old, next *searcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, one := range s.searchers {
		if one == old {
			s.searchers[i] = next
			s.putEntry(next, 1)
		}
	}
}

// siteZones returns the zones of the machines of the site, in the order of their starts.
func siteZones() []string {
	return []string{"kosice", "poprad", "presov", "kosice", "poprad", "presov", "kosice", "kosice"}
}

// startHosts starts an entry host in each of the zones named and waits until all are ready.
func (s *system) startHosts(ctx context.Context, zones []string) error {
	for i, zone := range zones {
		addrs, err := freeAddrs(4)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, &host{name: fmt.Sprintf("front-%d", i), zone: zone, callers: addrs[0], peers: addrs[1], operator: addrs[2], ready: addrs[3]})
	}
	var seeds []string
	for _, h := range s.hosts[:min(len(s.hosts), 3)] {
		seeds = append(seeds, h.peers)
	}
	for _, h := range s.hosts {
		if err := h.writeSettings(s.dir, s.storeAddr, seeds); err != nil {
			return err
		}
		if err := h.start(s.root, s.dir); err != nil {
			return err
		}
		s.record.printf("started %s in %s, pid %d", h.name, h.zone, h.cmd.Process.Pid)
	}
	for _, h := range s.hosts {
		if !await(ctx, 10*time.Second, h.isReady) {
			return fmt.Errorf("%s isn't ready", h.name)
		}
	}
	return nil
}

// isReady is false if the process has ended, as one does whose port another run has taken.
func (h *host) isReady() bool {
	if h.hasEnded() {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func await(ctx context.Context, limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
