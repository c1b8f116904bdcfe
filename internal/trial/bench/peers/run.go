// Package peers measures how fast and at what cost tickets and membership propagate over many hosts, which run in one
// process with their real peer protocol on the loopback interface and read from an in-memory platform.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
)

const (
	// settleTimeout bounds the wait until all hosts are ready, and then until each has all members.
	settleTimeout = 120 * yuccahinge.Second
	// inForceTimeout bounds the wait until a ticket is in force on all hosts.
	inForceTimeout = 30 * yuccahinge.Second
	pollInterval   = 5 * time.Millisecond
)

// Run starts the hosts of the plan, measures them and stops them. The report is incomplete if the error is not nil.
func Run(ctx context.Context, p Plan) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := run{plan: p, report: Report{Plan: p}}
	if err := r.setUp(); err != nil {
		return r.report, err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, h := range r.hosts {
		g.Go(func() error { return h.run(ctx) })
	}
	err := r.measure(ctx)
	cancel()
	return r.report, errors.Join(err, g.Wait(), r.checkInvariants())
}

type run struct {
	plan     Plan
	report   Report
	platform platform
	hosts    []*host
	bytes    atomic.Int64
}

func (r *run) setUp() error {
	if err := r.platform.publishInitial(r.plan.Searchers, r.plan.Shards); err != nil {
		return err
	}
	for i := range r.plan.Hosts {
		h, err := newHost(i, &r.plan, &r.platform, &r.bytes)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		r.platform.members = append(r.platform.members, h.syncer.Self)
	}
	data, err := json.Marshal(r.platform.state)
	r.report.StateBytes = len(data)
	return err
}

func (r *run) measure(ctx context.Context) error {
	start := now()
	if err := r.awaitAll(ctx, settleTimeout, "the host is ready", (*host).ready); err != nil {
		return err
	}
	r.report.ReadyMs = now() - start
	hasAllMembers := func(h *host) bool { return len(h.syncer.Roster().Members()) == r.plan.Hosts }
	if err := r.awaitAll(ctx, settleTimeout, "all members are known", hasAllMembers); err != nil {
		return err
	}
	r.report.SettledMs = now() - start
	r.report.StartBytes = r.perHost(2 * float64(r.bytes.Load()))
	if err := r.measureIdle(ctx); err != nil {
		return err
	}
	return r.measureTickets(ctx)
}

func (h *host) ready() bool {
	ok, _ := h.syncer.Ready()
	return ok
}

func (r *run) measureIdle(ctx context.Context) error {
	// Hosts keep sending the membership changes of the start for a while.
	if err := sleep(ctx, r.plan.SettleMs); err != nil {
		return err
	}
	reads := r.platform.reads.Load()
	before := r.usage()
	if err := sleep(ctx, r.plan.IdleMs); err != nil {
		return err
	}
	spent := r.usage().since(before)
	seconds := float64(spent.at / yuccahinge.Second)
	r.report.IdleBytesPerSecond = r.perHost(spent.bytes) / seconds
	r.report.IdleCoreShare = r.perHost(float64(spent.cpuTime/yuccahinge.Second)) / seconds
	r.report.IdleReadsPerSecond = float64(r.platform.reads.Load()-reads) / seconds
	return nil
}

func (r *run) measureTickets(ctx context.Context) error {
	before := r.usage()
	for i := range r.plan.Tickets {
		n := yuccahinge.TicketNumber(i + 2)
		published := now()
		if err := r.platform.publish(r.plan.TicketBytes); err != nil {
			return err
		}
		inForce := func(h *host) bool {
			_, ok := h.inForceAt(n)
			return ok
		}
		if err := r.awaitAll(ctx, inForceTimeout, fmt.Sprintf("ticket %d is in force", n), inForce); err != nil {
			return err
		}
		r.recordTimes(n, published)
		if err := sleep(ctx, published+r.plan.TicketIntervalMs-now()); err != nil {
			return err
		}
	}
	spent := r.usage().since(before)
	seconds := float64(spent.at / yuccahinge.Second)
	tickets := float64(r.plan.Tickets)
	r.report.TicketBytes = (r.perHost(spent.bytes) - r.report.IdleBytesPerSecond*seconds) / tickets
	idle := yuccahinge.Millis(r.report.IdleCoreShare*seconds) * yuccahinge.Second
	r.report.TicketCPUMs = (yuccahinge.Millis(r.perHost(float64(spent.cpuTime))) - idle) / yuccahinge.Millis(tickets)
	r.report.HeapBytes = r.perHost(liveHeap())
	return nil
}

func (r *run) recordTimes(n yuccahinge.TicketNumber, published yuccahinge.Millis) {
	var took []yuccahinge.Millis
	for _, h := range r.hosts {
		at, _ := h.inForceAt(n)
		took = append(took, at-published)
	}
	slices.Sort(took)
	r.report.MedianMs = max(r.report.MedianMs, quantile(took, 0.5))
	r.report.P99Ms = max(r.report.P99Ms, quantile(took, 0.99))
	r.report.MaxMs = max(r.report.MaxMs, took[len(took)-1])
}

// quantile returns the q-quantile by the nearest-rank method.
func quantile(sorted []yuccahinge.Millis, q float64) yuccahinge.Millis {
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, at)]
}

func (r *run) perHost(v float64) float64 { return v / float64(r.plan.Hosts) }

// awaitAll waits until the condition holds on every host. The text describes the condition in the error.
func (r *run) awaitAll(ctx context.Context, limit yuccahinge.Millis, what string, holds func(*host) bool) error {
	end := now() + limit
	for _, h := range r.hosts {
		for !holds(h) {
			if now() > end {
				_, reason := h.syncer.Ready()
				return fmt.Errorf("waiting until %s: does not hold on %s after %v ms; unready reason %q", what, h.syncer.Self.ID, limit, reason)
			}
			if err := sleep(ctx, yuccahinge.MillisOf(pollInterval)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) checkInvariants() error {
	for _, h := range r.hosts {
		h.mu.Lock()
		broken := h.brokenInvariant
		h.mu.Unlock()
		if broken != "" {
			return fmt.Errorf("invariant violated on %s: %s", h.syncer.Self.ID, broken)
		}
	}
	return nil
}

// resourceUsage holds a time and the process's cumulative usage at that time. Each byte between hosts counts twice: as
// sent by one and as received by the other.
type resourceUsage struct {
	at      yuccahinge.Millis
	bytes   float64
	cpuTime yuccahinge.Millis
}

func (r *run) usage() resourceUsage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	cpuTime := time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return resourceUsage{at: now(), bytes: 2 * float64(r.bytes.Load()), cpuTime: yuccahinge.MillisOf(cpuTime)}
}

func (u resourceUsage) since(o resourceUsage) resourceUsage {
	return resourceUsage{at: u.at - o.at, bytes: u.bytes - o.bytes, cpuTime: u.cpuTime - o.cpuTime}
}

// liveHeap returns the size of the heap of the process after a garbage collection, in bytes.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func sleep(ctx context.Context, span yuccahinge.Millis) error {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func now() yuccahinge.Millis { return clock.Clock{}.Now() }
