// Command stage runs the cases of the review: it starts entry hosts as processes, plays the searchers, the platform's store
// and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case. It returns how often the rule was broken.
var cases = map[string]func(*stage) (int, error){
	"crash":   crash,
	"refused": refused,
	"late":    late,
	"stale":   stale,
}

// stage is one run of a case.
type stage struct {
	dir string
	// trouble is false if the case runs without its disruption.
	trouble   bool
	store     store.Store
	hosts     []*entryHost
	ports     hostPorts
	searchers []*searcher
	record    *record
	// seedsDown is set if the seeds of the hosts are addresses at which no process listens.
	seedsDown bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*stage) (int, error), path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", record: &record{
		start: time.Now(), out: out, arrivals: make(map[string][]string), runs: make(map[string][]string),
	}}
	broken, err := s.play(run)
	switch {
	case err != nil:
		s.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		s.record.printf("the rule was broken %d times", broken)
		return exitBroken
	}
	s.record.printf("the rule held")
	return exitHeld
}

func (s *stage) play(run func(*stage) (int, error)) (int, error) {
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return 0, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(s.dir)
	}
	defer func() {
		for _, h := range s.hosts {
			h.stop()
		}
	}()
	return run(s)
}

// startSearcher starts a searcher of a service.
func (s *stage) startSearcher(q *searcher) error {
	q.stage = s
	if q.addr == "" {
		q.addr = "127.0.0.1:0"
	}
	if q.slots == 0 {
		q.slots = 4
	}
	s.searchers = append(s.searchers, q)
	return q.start()
}

// startHosts starts n entry hosts, in zones in turn, and waits until they are ready. Each has a loopback address of its own.
func (s *stage) startHosts(n int, zones ...string) error {
	var seeds []string
	for i := range n {
		// The addresses differ between cases that run at the same time.
		h := &entryHost{stage: s, name: fmt.Sprint("entry-", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, i+1)}
		s.hosts = append(s.hosts, h)
		if i == 0 {
			var err error
			if s.ports, err = findPorts(h.ip); err != nil {
				return err
			}
		}
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", h.ip, s.ports.control))
		}
	}
	if s.seedsDown {
		seeds = []string{fmt.Sprintf("127.0.0.2:%d", s.ports.control), fmt.Sprintf("127.0.0.3:%d", s.ports.control)}
	}
	for i, h := range s.hosts {
		if err := s.serveStore(h); err != nil {
			return err
		}
		if err := h.writeSettings(zones[i%len(zones)], seeds); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	s.record.printf("%d entry hosts are ready, their logs in %s", n, filepath.Base(s.dir))
	return nil
}

// serveStore serves the store to one host, at an address of its own.
func (s *stage) serveStore(h *entryHost) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.storeAddr = l.Addr().String()
	handler := s.store.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("prefix") == "servers/" {
			h.listCalls.Add(1)
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }() // ends with the program
	return nil
}
