// Package server provides a stand-in for a searcher: a backend server with few slots, a limit on its connections, and
// fault injection at run time.
package server

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// Searcher is a stand-in for a searcher. Set Config, call Listen, then Run.
type Searcher struct {
	Config Config

	// cfg is Config with defaults, set by Listen.
	cfg  Config
	addr string
	// firstListener serves the first instance; each restart binds addr again.
	firstListener   net.Listener
	controlListener net.Listener
	faults          atomic.Pointer[Faults]
	faultsMu        sync.Mutex
	counters        lockedCounters
	gate            gate.Gate
	current         atomic.Pointer[instance]
	startRequests   chan struct{}

	rngMu sync.Mutex
	rng   *rand.Rand
}

// Listen applies the defaults of Config and binds the addresses.
func (s *Searcher) Listen() error {
	s.cfg = s.Config.withDefaults()
	s.rng = rand.New(rand.NewPCG(s.cfg.Seed, 0))
	s.startRequests = make(chan struct{}, 1)
	f := s.cfg.Faults
	if f.Versions == nil {
		f.Versions = s.cfg.Versions
	}
	s.faults.Store(&f)
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	s.firstListener, s.addr = ln, ln.Addr().String()
	s.current.Store(newInstance(s))
	s.current.Load().skipsWarmup = s.cfg.WarmStart
	if s.cfg.Control == "" {
		return nil
	}
	s.controlListener, err = net.Listen("tcp", s.cfg.Control)
	return err
}

// Addr returns the bound address for queries and charges.
func (s *Searcher) Addr() string { return s.addr }

// ControlAddr returns the bound address for faults and counters, or "" if there is none.
func (s *Searcher) ControlAddr() string {
	if s.controlListener == nil {
		return ""
	}
	return s.controlListener.Addr().String()
}

// Counters returns a copy of the counters.
func (s *Searcher) Counters() Counters { return s.counters.snapshot() }

// Run serves until ctx ends. It returns an error if the address can't be bound again after a crash.
func (s *Searcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.serveInstances(ctx) })
	if s.controlListener != nil {
		group.Go(func() error { return httpio.Serve(ctx, s.controlListener, s.ControlHandler()) })
	}
	return group.Wait()
}

// serveInstances runs one instance after the other, with a restart after each crash.
func (s *Searcher) serveInstances(ctx context.Context) error {
	ln := s.firstListener
	for {
		s.current.Load().serve(ctx, ln)
		if ctx.Err() != nil {
			return nil
		}
		if !s.waitForStart(ctx, s.current.Load().killed.Load()) {
			return nil
		}
		next, err := s.relisten(ctx)
		if err != nil {
			return err
		}
		ln = next
		s.current.Store(newInstance(s))
	}
}

// waitForStart waits for a start request or, after a crash that is no kill, for RestartMs. It reports false when ctx
// ends first.
func (s *Searcher) waitForStart(ctx context.Context, killed bool) bool {
	var restart <-chan time.Time
	if !killed && s.cfg.RestartMs >= 0 {
		restart = time.After(s.cfg.RestartMs.Duration())
	}
	select {
	case <-restart:
	case <-s.startRequests:
	case <-ctx.Done():
		return false
	}
	return true
}

const (
	relistenAttempts = 50
	relistenDelay    = 20 * time.Millisecond
)

// relisten binds addr again, with retries, and returns the last error if all of them fail.
func (s *Searcher) relisten(ctx context.Context) (net.Listener, error) {
	var lastErr error
	for range relistenAttempts {
		ln, err := net.Listen("tcp", s.addr)
		if err == nil {
			return ln, nil
		}
		lastErr = err
		select {
		case <-time.After(relistenDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, lastErr
}

// Apply runs the actions of a control request. It doesn't apply the request's faults.
func (s *Searcher) Apply(c ControlRequest) {
	if c.Reset {
		s.counters.reset()
	}
	if c.FreezeMs > 0 {
		s.gate.CloseFor(c.FreezeMs.Duration())
	}
	if c.Kill {
		s.current.Load().crash(true)
	}
	if c.Start {
		select {
		case s.startRequests <- struct{}{}:
		default:
		}
	}
}

// UpdateFaults updates the injected faults with change.
func (s *Searcher) UpdateFaults(change func(f *Faults)) {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	old := s.faults.Load()
	f := *old
	change(&f)
	s.faults.Store(&f)
	if f.Cut && !old.Cut {
		s.gate.Close()
	}
	if !f.Cut && old.Cut {
		s.gate.Open()
	}
}

// ControlHandler answers GET and POST /control.
func (s *Searcher) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		httpio.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("POST /control", s.postControl)
	return mux
}

func (s *Searcher) postControl(w http.ResponseWriter, r *http.Request) {
	f := *s.faults.Load()
	c := ControlRequest{Faults: &f}
	if !httpio.ReadJSON(w, r, &c) {
		return
	}
	s.UpdateFaults(func(active *Faults) { *active = f })
	s.Apply(c)
	httpio.WriteJSON(w, http.StatusOK, f)
}

// serviceTime draws the service time of one run: log-normal, multiplied by the factors of the faults and a cold start.
func (s *Searcher) serviceTime(f *Faults, i *instance) time.Duration {
	s.rngMu.Lock()
	normal := s.rng.NormFloat64()
	isStraggler := s.rng.Float64() < f.StragglerShare
	s.rngMu.Unlock()
	ms := float64(s.cfg.MedianMs) * math.Exp(s.cfg.LogStdDev*normal)
	if isStraggler {
		ms *= f.StragglerFactor
	}
	if f.SlowFactor > 0 {
		ms *= f.SlowFactor
	}
	if !i.skipsWarmup && time.Since(i.startedAt) < s.cfg.WarmupMs.Duration() {
		ms *= s.cfg.ColdFactor
	}
	return yuccahinge.Millis(ms).Duration()
}

// newIncarnation returns a random incarnation for an instance.
func newIncarnation() yuccahinge.Incarnation {
	return yuccahinge.Incarnation(fmt.Sprintf("%016x", rand.Uint64()))
}
