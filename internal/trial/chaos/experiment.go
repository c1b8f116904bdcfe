// Package chaos runs real entry hosts as separate processes under injected faults and checks what callers and searchers
// see.
//
// Callers keep their connections open while faults occur one after another and overlap: processes are killed,
// terminated, paused and restarted by signals; links to the platform and to searchers are cut in one or both
// directions, delayed and reset; messages between hosts are lost; searchers crash, drain, slow down, shed load, stop replying and cut responses; the platform refuses
// requests and drops its change history; the configuration changes; another writer leaves odd entries among the searchers; searchers name maximum request rates. The seed
// determines the schedule of faults, but not the
// timing inside the processes, so that a run can't be replayed exactly.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

const (
	// longCallers is the number of clients that send requests on the long routes during the faults.
	longCallers = 8
	// readyTimeout bounds the wait for answers with full coverage from all hosts, at the start and at the end.
	readyTimeout = 20 * time.Second
	// settleTime is the time between the end of the last fault and the check for full coverage.
	settleTime = 3 * time.Second
)

// Experiment is one run. Binary and Dir must be set before Run.
type Experiment struct {
	// Binary is the path of the entry host program.
	Binary string
	// Dir is the directory that the settings and logs of the hosts are written to.
	Dir  string
	Seed uint64
	// FaultDuration is the time during which faults are injected.
	FaultDuration time.Duration
	Load          Load
	Shape         Shape
	Series        Series
	// Stall is the way in which searchers stall during a series of faults; empty for a random one in each round.
	Stall Stall
	// FreshCrashes is the number of callers that send other requests that crash searchers all the time, beside those of each route
	// that are the same for the whole run.
	FreshCrashes int
	// OnlyPlanned leaves out all faults but the planned work of operators: SIGTERM, SIGHUP and changes of the configuration.
	OnlyPlanned bool
	// Out receives a line for each fault; nil discards them.
	Out io.Writer

	rand    *rand.Rand
	env     *environment
	hosts   []*host
	checker checker
	sent    sentRequests
	shift   shift
	lag     lag
	// seedLinks are the links through which hosts reach their seeds.
	seedLinks []*link.Link
	start     time.Time
	// portsTried counts the ports that freePorts has tried.
	portsTried int
	// probes counts the callers that check a host for full coverage, so that no two of them use the same attempt ids.
	probes atomic.Int64
	// isHealed is set when the faults end.
	isHealed atomic.Bool
	// linksDisrupted holds when each *link.Link was last disrupted.
	linksDisrupted sync.Map
	// crashAttempts holds a *crashAttempt for each attempt id of a request that crashes searchers.
	crashAttempts sync.Map

	// published holds the configurations that must be in force applyTime later.
	publishedMu sync.Mutex
	published   []publication

	mu sync.Mutex // guards Out
}

// Report counts the requests and faults of a run and lists the violations.
type Report struct {
	Requests, Answered, Refused, Failed, Faults int
	// Draining counts the requests that a process took after SIGTERM, and DrainingRefused those of them that it refused.
	Draining, DrainingRefused int
	// Lost counts the requests whose connection ended without an answer although no fault allows it.
	Lost int
	// Violations describes the invariants that did not hold, at most maxViolations.
	Violations []string
	// Closest describes the window of a service that used the largest share of the allowed extra attempts.
	Closest string
	// ClosestShare is that share; above one it is a violation.
	ClosestShare float64
	// Overrun counts the requests that ran on more searchers of a service than allowed, LongDeadlines the calls with
	// too long a deadline, and LateRepeats the calls sent late after the first one of their request.
	Overrun, LongDeadlines, LateRepeats int
	// LongestLag is the longest time for which the machine did not run this process although it had work.
	LongestLag time.Duration
}

// Run runs the hosts and callers under faults. It returns an error if the hosts could not be started or gave no answers
// with full coverage before the first fault.
func (x *Experiment) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := x.prepare(ctx); err != nil {
		return nil, err
	}
	defer x.stopHosts()
	if err := x.awaitFullCoverage(ctx, "the start"); err != nil {
		return nil, err
	}
	faults := x.runFaults(ctx)
	if err := x.awaitFullCoverage(ctx, "the end"); err != nil {
		x.checker.addViolation(err.Error())
	}
	x.env.checkRates(&x.checker)
	x.env.checkOddEntries(&x.checker)
	x.checkCrashes()
	x.checkLeaving()
	x.checkEvacuations()
	budget := x.checkBudget()
	for _, v := range budget.violations {
		x.checker.addViolation(v)
	}
	r := x.checker.report(&x.env.runs)
	r.LongestLag = x.lag.longest()
	r.Closest, r.ClosestShare = budget.closest.String(), budget.closest.load()
	r.Overrun, r.LongDeadlines, r.LateRepeats = len(budget.overrun), len(budget.longDeadlines), budget.lateRepeats
	r.Faults = faults
	return r, nil
}

// prepare starts the platform, the searchers and the hosts.
func (x *Experiment) prepare(ctx context.Context) error {
	x.rand = rand.New(rand.NewPCG(x.Seed, 1))
	x.start = time.Now()
	go x.lag.measure(ctx)
	var err error
	if x.env, err = newEnvironment(ctx, x.Load, x.Shape); err != nil {
		return err
	}
	x.env.onlySilent = x.Seed%4 == 0
	if x.Seed%3 == 0 {
		x.env.crashes.Delay = x.crashDelay
	}
	return x.startHosts(ctx)
}

// startCallers starts the callers. The returned function stops them and waits for the end of their requests.
func (x *Experiment) startCallers(ctx context.Context) (stop func()) {
	return x.startClients(ctx, 0, x.Load.callers(), func(ctx context.Context, c *caller) error { return c.run(ctx) })
}

// startClients starts n clients, whose numbers begin with first. The returned function stops them and waits for their end.
func (x *Experiment) startClients(ctx context.Context, first, n int, run func(ctx context.Context, c *caller) error) (stop func()) {
	var g errgroup.Group
	ctx, cancel := context.WithCancel(ctx)
	for i := range n {
		c := newCaller(x, first+i)
		g.Go(func() error { return run(ctx, c) })
	}
	return func() {
		cancel()
		_ = g.Wait() // callers always return nil; the checker records failed requests
	}
}

// runFaults injects faults while callers send requests, and returns the number of faults.
func (x *Experiment) runFaults(ctx context.Context) int {
	stop := x.startCallers(ctx)
	stopLong := x.startClients(ctx, x.Load.callers(), longCallers, func(ctx context.Context, c *caller) error { return c.runLong(ctx) })
	stopCrashes := x.startCrashCallers(ctx)
	stopLosses := x.startMessageLosses(ctx)
	n := 0
	if x.Series == SeriesRandom {
		n = x.runRandom(ctx)
	} else {
		n = x.runSeries(ctx)
	}
	stopCrashes()
	stopLosses()
	x.clearFaults()
	sleep(ctx, settleTime)
	stop()
	stopLong()
	return n
}

// runRandom injects single random faults and returns their number.
func (x *Experiment) runRandom(ctx context.Context) int {
	end := time.Now().Add(x.FaultDuration)
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		x.injectFault(ctx)
		n++
		sleep(ctx, time.Duration(200+x.rand.IntN(900))*time.Millisecond)
	}
	return n
}

// nextProbe returns the number of a client that no other one has.
func (x *Experiment) nextProbe() int {
	return x.Load.callers() + longCallers + int(x.probes.Add(1))
}

// awaitFullCoverage waits until every host has returned an answer with full coverage.
func (x *Experiment) awaitFullCoverage(ctx context.Context, when string) error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range x.hosts {
		c := newCaller(x, x.nextProbe())
		c.isProbe = true
		for !c.hasFullCoverage(ctx, h) {
			if time.Now().After(limit) {
				return fmt.Errorf("at %s host %s returned no answer with full coverage within %v", when, h.name, readyTimeout)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (x *Experiment) logf(format string, args ...any) {
	if x.Out == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	_, _ = fmt.Fprintf(x.Out, "%7.2f %s\n", time.Since(x.start).Seconds(), fmt.Sprintf(format, args...))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
