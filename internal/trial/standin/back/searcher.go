// Package back provides the stand-in of a searcher: a backend server with few slots, a cap on its
// connections, and faults that a test brings about while it runs.
package back

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
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// Searcher is a stand-in searcher. Set Config, call Listen, then Run.
type Searcher struct {
	Config Config

	cfg     Config
	addr    string
	first   net.Listener
	control net.Listener
	faults  atomic.Pointer[Faults]
	change  sync.Mutex
	tally   tally
	gate    gate.Gate
	life    atomic.Pointer[life]
	start   chan struct{}

	rngMu sync.Mutex
	rng   *rand.Rand
}

// Listen binds the addresses.
func (s *Searcher) Listen() error {
	s.cfg = s.Config.withDefaults()
	s.rng = rand.New(rand.NewPCG(s.cfg.Seed, 0))
	s.start = make(chan struct{}, 1)
	f := s.cfg.Faults
	if f.Versions == nil {
		f.Versions = s.cfg.Versions
	}
	s.faults.Store(&f)
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	s.first, s.addr = ln, ln.Addr().String()
	s.life.Store(newLife(s))
	s.life.Load().warm = s.cfg.WarmStart
	if s.cfg.Control == "" {
		return nil
	}
	s.control, err = net.Listen("tcp", s.cfg.Control)
	return err
}

// Addr returns the address for queries.
func (s *Searcher) Addr() string { return s.addr }

// ControlAddr returns the address for faults, empty for none.
func (s *Searcher) ControlAddr() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// Counters returns what was counted so far.
func (s *Searcher) Counters() Counters { return s.tally.read() }

// Run serves until ctx ends.
func (s *Searcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.lives(ctx) })
	if s.control != nil {
		group.Go(func() error { return wire.Serve(ctx, s.control, s.ControlHandler()) })
	}
	return group.Wait()
}

// lives serves one life after another, with a restart after each crash.
func (s *Searcher) lives(ctx context.Context) error {
	ln := s.first
	for {
		s.life.Load().serve(ctx, ln)
		if ctx.Err() != nil {
			return nil
		}
		if !s.rest(ctx, s.life.Load().killed.Load()) {
			return nil
		}
		next, err := s.relisten(ctx)
		if err != nil {
			return err
		}
		ln = next
		s.life.Store(newLife(s))
	}
}

// rest waits for the next start: after a kill for the order to start, after a crash for the restart time.
func (s *Searcher) rest(ctx context.Context, killed bool) bool {
	var restart <-chan time.Time
	if !killed && s.cfg.RestartMs >= 0 {
		restart = time.After(s.cfg.RestartMs.Duration())
	}
	select {
	case <-restart:
	case <-s.start:
	case <-ctx.Done():
		return false
	}
	return true
}

const (
	relistenTries = 50
	relistenPause = 20 * time.Millisecond
)

func (s *Searcher) relisten(ctx context.Context) (net.Listener, error) {
	var last error
	for range relistenTries {
		ln, err := net.Listen("tcp", s.addr)
		if err == nil {
			return ln, nil
		}
		last = err
		select {
		case <-time.After(relistenPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, last
}

// Change applies a control request.
func (s *Searcher) Change(c Control) {
	if c.Reset {
		s.tally.reset()
	}
	if c.FreezeMs > 0 {
		s.gate.ShutFor(c.FreezeMs.Duration())
	}
	if c.Kill {
		s.life.Load().crash(true)
	}
	if c.Start {
		select {
		case s.start <- struct{}{}:
		default:
		}
	}
}

// Fault changes the faults in force.
func (s *Searcher) Fault(change func(f *Faults)) {
	s.change.Lock()
	defer s.change.Unlock()
	old := s.faults.Load()
	f := *old
	change(&f)
	s.faults.Store(&f)
	if f.Cut && !old.Cut {
		s.gate.Shut()
	}
	if !f.Cut && old.Cut {
		s.gate.Open()
	}
}

// ControlHandler answers GET and POST /control.
func (s *Searcher) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		wire.Reply(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("POST /control", s.postControl)
	return mux
}

func (s *Searcher) postControl(w http.ResponseWriter, r *http.Request) {
	f := *s.faults.Load()
	c := Control{Faults: &f}
	if !wire.Decode(w, r, &c) {
		return
	}
	s.Fault(func(now *Faults) { *now = f })
	s.Change(c)
	wire.Reply(w, http.StatusOK, f)
}

// serviceTime draws the time of one run.
func (s *Searcher) serviceTime(f *Faults, l *life) time.Duration {
	s.rngMu.Lock()
	normal := s.rng.NormFloat64()
	straggles := s.rng.Float64() < f.StragglerShare
	s.rngMu.Unlock()
	ms := float64(s.cfg.MedianMs) * math.Exp(s.cfg.Spread*normal)
	if straggles {
		ms *= f.StragglerFactor
	}
	if f.SlowFactor > 0 {
		ms *= f.SlowFactor
	}
	if !l.warm && time.Since(l.began) < s.cfg.ColdMs.Duration() {
		ms *= s.cfg.ColdFactor
	}
	return yuccahinge.Millis(ms).Duration()
}

// incarnation draws the name of one life.
func incarnation() yuccahinge.Incarnation {
	return yuccahinge.Incarnation(fmt.Sprintf("%016x", rand.Uint64()))
}
