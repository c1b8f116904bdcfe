// Package storm runs real entry hosts as separate processes under faults from outside, and checks what callers and
// searchers see.
//
// Callers keep their connections while faults come in series and overlap: processes are killed, stopped, paused and
// restarted by signals; links to the platform and to searchers are cut one way or both, delayed and reset; searchers
// crash, drain, slow down, refuse and fall silent; the platform refuses and forgets; the configuration changes. The
// schedule follows from the seed; the instants at which processes act do not.
package storm

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// callers is the number of clients, each with one request at a time.
	callers = 8
	// startLimit bounds the wait for the hosts at the start and for whole answers at the end.
	startLimit = 20 * time.Second
	// settleTime is the time between the end of the last fault and the check that all is well.
	settleTime = 3 * time.Second
)

// Storm is one run. Set Binary and Dir before Run.
type Storm struct {
	// Binary is the program of the entry hosts.
	Binary string
	// Dir takes the settings and the logs.
	Dir  string
	Seed uint64
	// Length is the time in which faults come.
	Length time.Duration
	// Hosts is the number of entry hosts; zero takes 4.
	Hosts int
	// Out takes a line for each fault; nil for none.
	Out io.Writer

	rand  *rand.Rand
	site  *site
	hosts []*host
	log   ledger
	start time.Time
	// ports counts the ports that were looked at.
	ports int
	// probes counts the callers that look whether a host is well, so that no two share the ids of their attempts.
	probes int
	mu     sync.Mutex // guards Out
}

// Report is what a run brought about.
type Report struct {
	Requests, Answered, Refused, Failed, Faults int
	// Violations are promises that were broken.
	Violations []string
}

// Run plays the storm. An error says that it could not be played.
func (s *Storm) Run(ctx context.Context) (*Report, error) {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.start = time.Now()
	if s.Hosts == 0 {
		s.Hosts = 4
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if s.site, err = newSite(ctx); err != nil {
		return nil, err
	}
	if err := s.startHosts(ctx); err != nil {
		return nil, err
	}
	defer s.stopHosts()
	if err := s.await(ctx, "the start"); err != nil {
		return nil, err
	}
	faults := s.blow(ctx)
	if err := s.await(ctx, "the end"); err != nil {
		s.log.violate(err.Error())
	}
	r := s.log.report(&s.site.runs)
	r.Faults = faults
	return r, nil
}

// blow lets clients call while faults come, and returns the number of faults.
func (s *Storm) blow(ctx context.Context) int {
	calls, stop := context.WithCancel(ctx)
	var g errgroup.Group
	for i := range callers {
		c := newCaller(s, i)
		g.Go(func() error { return c.run(calls) })
	}
	end := time.Now().Add(s.Length)
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		s.fault(ctx)
		n++
		sleep(ctx, time.Duration(200+s.rand.IntN(900))*time.Millisecond)
	}
	s.heal()
	sleep(ctx, settleTime)
	stop()
	_ = g.Wait() // callers count what they meet
	return n
}

// await waits until every host gives a whole answer.
func (s *Storm) await(ctx context.Context, when string) error {
	limit := time.Now().Add(startLimit)
	for _, h := range s.hosts {
		s.probes++
		c := newCaller(s, callers+s.probes)
		for !c.whole(ctx, h) {
			if time.Now().After(limit) {
				return fmt.Errorf("at %s host %s gives no whole answer within %v", when, h.name, startLimit)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *Storm) say(format string, args ...any) {
	if s.Out == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.Out, "%7.2f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
