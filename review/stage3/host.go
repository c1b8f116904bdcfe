package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
)

// host is an entry host, a process of the program under review.
type host struct {
	name, zone                      string
	callers, peers, operator, ready string
	settings                        string

	cmd   *exec.Cmd
	ended chan struct{}
}

const (
	// lowPort and highPort bound the hosts' ports. The range is below that of ephemeral ports.
	lowPort, highPort = 20_000, 30_000
)

// nextPort begins anywhere, so that runs at the same time seldom choose the same ports.
var nextPort = lowPort + rand.IntN(highPort-lowPort)

// freeAddrs returns loopback addresses with free ports.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range highPort - lowPort {
		if len(out) == n {
			return out, nil
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
	return nil, errors.New("too few free ports")
}

// writeSettings writes the settings that deploy/entry.json gives on a small site.
func (h *host) writeSettings(dir, storeAddr string, seeds []string) error {
	text, err := json.Marshal(map[string]any{
		"cluster": "platform", "host": h.name, "domain": h.zone,
		"callersAddr": h.callers, "peersAddr": h.peers, "operatorsAddr": h.operator,
		"platform": []string{"http://" + storeAddr}, "seeds": seeds,
		"limits": map[string]any{"events": 512, "replyBytes": 4194304, "peerConnections": 16, "memoryMb": memoryMb, "descriptors": 4100},
		"drain":  map[string]any{"graceMs": 2800, "deadlineMs": 30000, "killMs": 6000},
		"forward": map[string]any{
			"readyAddr": h.ready, "store": storeAddr, "cores": 0.4, "linkMbps": 1000, "extraRatio": 0.2, "extraSlack": 56,
			"searcherDrainMs": 3000, "heartbeatMs": heartbeat.Milliseconds(), "ticketMs": 3000, "extraWindowMs": 10000,
		},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(dir, h.name+".json")
	return os.WriteFile(h.settings, text, 0o600)
}

// start starts the process with the command of deploy/system.toml.
func (h *host) start(root, dir string) error {
	log, err := os.Create(filepath.Join(dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/yuccahinge", "entry")
	h.cmd.Dir = root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCAHINGE_NODE_FILE=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	// The process ends with this one, whatever ends it.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		_ = h.cmd.Wait() // the state of the process has the result
		close(ended)
		_ = log.Close()
	}()
	return nil
}

func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

func (h *host) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill() // fails only if it has ended
	<-h.ended
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakKB returns the peak of the resident memory in kB, or zero if the process has ended.
func (h *host) peakKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := peakPattern.FindSubmatch(text)
	if m == nil {
		return 0
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return 0
	}
	return n
}
