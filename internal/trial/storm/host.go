package storm

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

var errNoPorts = errors.New("no loopback ports are free")

// host is an entry host over all lives of its process.
type host struct {
	name     string
	addr     string
	settings string
	binary   string
	log      *os.File
	store    link.Link

	// life numbers the processes; it is odd while one runs that was not told to end.
	life atomic.Int64
	// leftAt is when the present process was told to end, in Unix nanoseconds; zero if it was not.
	leftAt atomic.Int64
	// harmed is when the process was last killed or paused, in Unix nanoseconds.
	harmed atomic.Int64

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// startHosts starts the entry hosts, each with a link of its own to the platform.
func (s *Storm) startHosts(ctx context.Context) error {
	var seeds []string
	for i := range s.Hosts {
		ports, err := s.freePorts(4)
		if err != nil {
			return err
		}
		h := &host{name: fmt.Sprint("e", i), addr: ports[0], binary: s.Binary}
		h.store.ListenAddr, h.store.Target = "127.0.0.1:0", s.site.storeAddr
		if err := h.store.Listen(); err != nil {
			return err
		}
		go func() { _ = h.store.Run(ctx) }() // it ends with ctx
		if len(seeds) < 2 {
			seeds = append(seeds, ports[1])
		}
		if err := h.configure(s.Dir, ports, seeds, []string{"a", "b"}[i%2]); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// lowPort and highPort bound the hosts' ports. They lie under those that the system gives to outgoing connections,
	// one of which could take the port of a host that is being restarted.
	lowPort  = 20_000
	highPort = 32_000
	// portStep keeps soaks that run beside each other apart.
	portStep = 97
)

// freePorts returns loopback addresses that are free and that no other host of this run has.
func (s *Storm) freePorts(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n && tries < highPort-lowPort; tries++ {
		port := lowPort + (os.Getpid()*portStep+s.ports)%(highPort-lowPort)
		s.ports++
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

func (h *host) configure(dir string, ports, seeds []string, domain string) error {
	text, err := json.Marshal(map[string]any{
		"cluster": "storm", "host": h.name, "domain": domain, "callersAddr": ports[0], "peersAddr": ports[1],
		"operatorsAddr": ports[2], "platform": []string{"http://" + h.store.Addr()}, "seeds": seeds,
		"drain":   map[string]any{"graceMs": 800, "deadlineMs": 4000},
		"forward": map[string]any{"readyAddr": ports[3], "store": h.store.Addr(), "extraRatio": 0.2, "extraSlack": 50},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return err
	}
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	return err
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.binary, "entry", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	h.leftAt.Store(0)
	h.life.Add(1)
	go func() {
		_ = cmd.Wait() // how it ended is seen by the callers
		close(ended)
	}()
	return nil
}

// signal sends a signal to the present process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig) // a process that has ended needs none
}

// restart ends the process with a signal and starts another one after a pause.
func (h *host) restart(ctx context.Context, sig syscall.Signal, pause time.Duration) {
	if sig == syscall.SIGTERM {
		h.leftAt.Store(time.Now().UnixNano())
	} else {
		h.harmed.Store(time.Now().UnixNano())
	}
	h.signal(sig)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		h.harmed.Store(time.Now().UnixNano())
		h.signal(syscall.SIGKILL)
		<-ended
	}
	sleep(ctx, pause)
	if ctx.Err() == nil {
		_ = h.start() // a host that does not start gives no whole answer at the end
	}
}

func (s *Storm) stopHosts() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.ended
		_ = h.log.Close()
	}
}
