// Package flood tests entry hosts, as real processes, against clients outside the limits.
package flood

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"
)

// binary is the path of the compiled program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "flood")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "yuccahinge")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/yuccahinge").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// host is an entry host in a process of its own.
type host struct {
	callers, peers, operators, ready string

	cmd   *exec.Cmd
	log   lockedBuffer
	ended chan struct{}
}

// processLimits are limits of a process that its environment sets; zero values set none.
type processLimits struct {
	// memoryMb is the memory that the Go runtime is told to stay within, in MB.
	memoryMb int
	// descriptors is the limit of open files.
	descriptors int
}

// command returns a command that runs the program under the limits.
func (l processLimits) command(args ...string) *exec.Cmd {
	c := exec.Command(binary, args...)
	if l.descriptors > 0 {
		c = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.descriptors), binary}, args...)...)
	}
	if l.memoryMb > 0 {
		c.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%d", l.memoryMb*1_000_000))
	}
	return c
}

// startHost starts a command of the program with settings. The cleanup of the test kills it if it is still running.
func startHost(t *testing.T, command string, settings map[string]any, limits processLimits) *host {
	t.Helper()
	addrs := freeAddrs(t, 4)
	h := &host{callers: addrs[0], peers: addrs[1], operators: addrs[2], ready: addrs[3], ended: make(chan struct{})}
	settings["cluster"], settings["host"], settings["domain"] = "flood", "e0", "z1"
	settings["callersAddr"], settings["peersAddr"], settings["operatorsAddr"] = h.callers, h.peers, h.operators
	if forward, ok := settings["forward"].(map[string]any); ok {
		forward["readyAddr"] = h.ready
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "e0.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	h.cmd = limits.command(command, "--settings", file)
	h.cmd.Stdout, h.cmd.Stderr = &h.log, &h.log
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = h.cmd.Wait() // the cleanup kills it
		close(h.ended)
	}()
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill() // fails only if it has ended
		<-h.ended
		if t.Failed() {
			t.Logf("the end of the host's log:\n%s", h.log.tail())
		}
	})
	return h
}

// mustBeAlive fails the test if the process has ended.
func (h *host) mustBeAlive(t *testing.T) {
	t.Helper()
	select {
	case <-h.ended:
		t.Fatalf("the host has ended: %v", h.cmd.ProcessState)
	default:
	}
}

// peakKB returns the peak of the process's resident memory, in kB.
func (h *host) peakKB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
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

// descriptors returns the number of the process's open descriptors; zero if it has ended.
func (h *host) descriptors() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(all)
}

const (
	// lowPort and highPort bound the hosts' ports. The range is below that of ephemeral ports.
	lowPort  = 12_000
	highPort = 20_000
)

var nextPort = lowPort + os.Getpid()%80*100

func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range highPort - lowPort {
		if len(out) == n {
			return out
		}
		nextPort++
		if nextPort >= highPort {
			nextPort = lowPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			out = append(out, addr)
		}
	}
	t.Fatal("too few free ports")
	return nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const waitLimit = 20 * time.Second
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitLimit, what)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// tail returns the end of what was written.
func (l *lockedBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	const maxBytes = 4000
	b := l.b.Bytes()
	return string(b[max(0, len(b)-maxBytes):])
}
