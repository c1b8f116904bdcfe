package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

var errNoPorts = errors.New("finding loopback ports for a host: too few are free")

// host is an entry host, over all restarts of its process.
type host struct {
	name         string
	addr         string
	settingsFile string
	binary       string
	log          *os.File
	platformLink link.Link
	// peerLink is the link through which the other hosts reach it.
	peerLink link.Link

	// process is the current process.
	process atomic.Pointer[process]
	// disruptedAt is when a process of the host was last killed, paused or resumed, in Unix nanoseconds.
	disruptedAt atomic.Int64
	// disruptions holds all signals to the processes of the host, and their starts.
	disruptions disruptions
	// startedAt is when the current process was started, in Unix nanoseconds.
	startedAt atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// maxSeeds is the largest number of hosts that settings name as seeds.
const maxSeeds = 2

// process is one process of a host.
type process struct {
	// incarnation is the number of processes that the host has had, this one included.
	incarnation int64
	// terminatedAt is when SIGTERM was sent, in Unix nanoseconds; zero if it was not.
	terminatedAt atomic.Int64
}

// startHosts starts the entry hosts, each with links of its own to the platform and from the other hosts.
func (x *Experiment) startHosts(ctx context.Context) error {
	var seeds []string
	for i := range x.Shape.hosts() {
		ports, err := x.freePorts(4)
		if err != nil {
			return err
		}
		h := &host{name: fmt.Sprint("e", i), addr: ports[0], binary: x.Binary}
		h.platformLink.ListenAddr, h.platformLink.Target = "127.0.0.1:0", x.env.storeAddr
		if err := h.platformLink.Listen(); err != nil {
			return err
		}
		go func() { _ = h.platformLink.Run(ctx) }() // returns when ctx ends
		h.peerLink.ListenAddr, h.peerLink.Target = "127.0.0.1:0", ports[1]
		if err := h.peerLink.Listen(); err != nil {
			return err
		}
		go func() { _ = h.peerLink.Run(ctx) }() // returns when ctx ends
		if len(seeds) < maxSeeds {
			l := &link.Link{ListenAddr: "127.0.0.1:0", Target: ports[1]}
			if err := l.Listen(); err != nil {
				return err
			}
			go func() { _ = l.Run(ctx) }() // returns when ctx ends
			x.seedLinks = append(x.seedLinks, l)
			seeds = append(seeds, l.Addr())
		}
		if err := h.configure(x, ports, seeds, i); err != nil {
			return err
		}
		x.hosts = append(x.hosts, h)
	}
	for _, h := range x.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// lowPort and highPort bound the hosts' ports. The range is below the system's ephemeral ports: an outgoing connection
	// could otherwise take the port of a host that is being restarted.
	lowPort  = 20_000
	highPort = 32_000
	// portStep is the distance between the first ports of runs with successive process ids, so that concurrent runs
	// try different ports.
	portStep = 97
)

// freePorts returns n loopback addresses that are free and that no other host of this run uses.
func (x *Experiment) freePorts(n int) ([]string, error) {
	var out []string
	for tried := 0; len(out) < n && tried < highPort-lowPort; tried++ {
		port := lowPort + (os.Getpid()*portStep+x.portsTried)%(highPort-lowPort)
		x.portsTried++
		addr := fmt.Sprint("127.0.0.1:", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, addr)
	}
	if len(out) < n {
		return nil, errNoPorts
	}
	return out, nil
}

func (h *host) configure(x *Experiment, ports, seeds []string, i int) error {
	settings, err := json.Marshal(map[string]any{
		"cluster": "storm", "host": h.name, "domain": x.Shape.domain(i), "callersAddr": ports[0], "peersAddr": ports[1],
		"peersPublicAddr": h.peerLink.Addr(),
		"operatorsAddr":   ports[2], "platform": []string{"http://" + h.platformLink.Addr()}, "seeds": seeds,
		"drain": x.Shape.drain(),
		"forward": map[string]any{
			"readyAddr": ports[3], "store": h.platformLink.Addr(), "extraRatio": extraRatio, "extraSlack": x.Shape.slack(),
			"extraWindowMs": extraWindow.Milliseconds(), "cores": x.Shape.cores(i), "evacuateMs": evacuateTime.Milliseconds(), "ticketMs": applyTime.Milliseconds(),
		},
	})
	if err != nil {
		return err
	}
	h.settingsFile = filepath.Join(x.Dir, h.name+".json")
	if err := os.WriteFile(h.settingsFile, settings, 0o600); err != nil {
		return err
	}
	h.log, err = os.Create(filepath.Join(x.Dir, h.name+".log"))
	return err
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.binary, "entry", "--settings", h.settingsFile)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	next := &process{incarnation: 1}
	if last := h.process.Load(); last != nil {
		next.incarnation += last.incarnation
	}
	h.process.Store(next)
	h.startedAt.Store(time.Now().UnixNano())
	h.disruptions.add(0)
	go func() {
		_ = cmd.Wait() // the callers detect how the process ended
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig) // fails only if the process has already ended
}

// disrupt records that the process is being killed, paused or resumed.
func (h *host) disrupt() {
	h.disruptedAt.Store(time.Now().UnixNano())
	h.disruptions.add(0)
}

// restart ends the process with a signal and starts a new one after a wait. It sends SIGKILL if the process runs for 8
// more seconds.
func (h *host) restart(ctx context.Context, sig syscall.Signal, pause time.Duration) {
	if sig == syscall.SIGTERM {
		h.process.Load().terminatedAt.Store(time.Now().UnixNano())
		h.disruptions.add(0)
	} else {
		h.disrupt()
	}
	h.signal(sig)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		h.disrupt()
		h.signal(syscall.SIGKILL)
		<-exited
	}
	sleep(ctx, pause)
	if ctx.Err() == nil {
		_ = h.start() // a host that does not start fails the check for full coverage at the end
	}
}

func (x *Experiment) stopHosts() {
	for _, h := range x.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited
		_ = h.log.Close()
	}
}
