package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// hostPorts are the ports of the entry hosts, which are the same at the address of each.
type hostPorts struct{ front, control, ready int }

// findPorts finds ports that are free at an address.
func findPorts(ip string) (hostPorts, error) {
	var p hostPorts
	for _, port := range []*int{&p.front, &p.control, &p.ready} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// entryHost is a process of the project, started with the command of the deploy file.
type entryHost struct {
	stage    *stage
	name, ip string
	settings string
	log      *os.File
	// storeAddr is the address at which this host reaches the store, and listCalls counts its calls for the list of searchers.
	storeAddr string
	listCalls atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (h *entryHost) front() string { return fmt.Sprintf("%s:%d", h.ip, h.stage.ports.front) }

// writeSettings renders deploy/entry.json with the settings of a machine of the small site.
func (h *entryHost) writeSettings(zone string, seeds []string) error {
	template, err := os.ReadFile("deploy/entry.json")
	if err != nil {
		return err
	}
	text, err := render(string(template), map[string]any{
		"node": h.name, "zone": zone, "ip": h.ip, "seeds": seeds,
		"listen": map[string]any{
			"front": h.front(), "ready_addr": fmt.Sprintf("%s:%d", h.ip, h.stage.ports.ready), "control": fmt.Sprintf("%s:%d", h.ip, h.stage.ports.control),
		},
		"platform": map[string]any{"addr": h.storeAddr},
		"limits":   map[string]any{"cpu_share": 0.4, "link_mbps": 1000},
		"bounds":   map[string]any{"grace_s": 6, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10, "drain_ms": 3000},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(h.stage.dir, h.name+".json")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *entryHost) start() error {
	command, err := deployCommand()
	if err != nil {
		return err
	}
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(h.stage.dir, h.name+".log")); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCAHINGE_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // how the process ended stands in its state
		close(exited)
	}()
	return nil
}

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no command")
}

func (h *entryHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig) // fails only if the process has ended
	}
}

// stop ends the process and waits for its end.
func (h *entryHost) stop() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isRunning reports whether the process has not ended.
func (h *entryHost) isRunning() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until the host counts as ready.
func (h *entryHost) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", h.ip, h.stage.ports.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", h.name, limit)
}
