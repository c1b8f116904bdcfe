// Package peers measures how tickets and membership spread over many hosts: real keepers, peer servers and
// pools on the loopback interface, in one process, with the platform in memory.
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
	// settleLimit bounds the wait for hosts to be ready and to know each other.
	settleLimit = 120 * yuccahinge.Second
	// inForceLimit bounds the wait for one ticket.
	inForceLimit = 30 * yuccahinge.Second
	pollEvery    = 5 * time.Millisecond
)

// Run measures one plan.
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
	return r.report, errors.Join(err, g.Wait(), r.checkBroken())
}

type run struct {
	plan     Plan
	report   Report
	platform platform
	hosts    []*host
	bytes    atomic.Int64
}

func (r *run) setUp() error {
	if err := r.platform.found(r.plan.Searchers, r.plan.Shards); err != nil {
		return err
	}
	for i := range r.plan.Hosts {
		h, err := newHost(i, &r.plan, &r.platform, &r.bytes)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		r.platform.members = append(r.platform.members, h.keeper.Self)
	}
	data, err := json.Marshal(r.platform.state)
	r.report.StateBytes = len(data)
	return err
}

func (r *run) measure(ctx context.Context) error {
	start := now()
	if err := r.until(ctx, settleLimit, "all hosts are ready", (*host).ready); err != nil {
		return err
	}
	r.report.ReadyMs = now() - start
	knowsAll := func(h *host) bool { return len(h.keeper.Roster().Members()) == r.plan.Hosts }
	if err := r.until(ctx, settleLimit, "all hosts know each other", knowsAll); err != nil {
		return err
	}
	r.report.SettledMs = now() - start
	r.report.StartBytes = r.perHost(2 * float64(r.bytes.Load()))
	if err := r.idle(ctx); err != nil {
		return err
	}
	return r.tickets(ctx)
}

func (h *host) ready() bool {
	ok, _ := h.keeper.Ready()
	return ok
}

func (r *run) idle(ctx context.Context) error {
	// Changes of the start still ride along for a while.
	if err := sleep(ctx, r.plan.SettleMs); err != nil {
		return err
	}
	reads := r.platform.reads.Load()
	before := r.sample()
	if err := sleep(ctx, r.plan.IdleMs); err != nil {
		return err
	}
	spent := r.sample().since(before)
	seconds := float64(spent.at / yuccahinge.Second)
	r.report.IdleBytes = r.perHost(spent.bytes) / seconds
	r.report.IdleCore = r.perHost(float64(spent.processor/yuccahinge.Second)) / seconds
	r.report.IdleReads = float64(r.platform.reads.Load()-reads) / seconds
	return nil
}

func (r *run) tickets(ctx context.Context) error {
	before := r.sample()
	for i := range r.plan.Tickets {
		n := yuccahinge.TicketNumber(i + 2)
		published := now()
		if err := r.platform.publish(r.plan.TicketBytes); err != nil {
			return err
		}
		inForce := func(h *host) bool {
			_, ok := h.at(n)
			return ok
		}
		if err := r.until(ctx, inForceLimit, fmt.Sprintf("ticket %d is in force", n), inForce); err != nil {
			return err
		}
		r.noteTimes(n, published)
		if err := sleep(ctx, published+r.plan.EveryMs-now()); err != nil {
			return err
		}
	}
	spent := r.sample().since(before)
	seconds := float64(spent.at / yuccahinge.Second)
	tickets := float64(r.plan.Tickets)
	r.report.TicketBytes = (r.perHost(spent.bytes) - r.report.IdleBytes*seconds) / tickets
	idle := yuccahinge.Millis(r.report.IdleCore*seconds) * yuccahinge.Second
	r.report.TicketMs = (yuccahinge.Millis(r.perHost(float64(spent.processor))) - idle) / yuccahinge.Millis(tickets)
	r.report.HeapBytes = r.perHost(liveHeap())
	return nil
}

func (r *run) noteTimes(n yuccahinge.TicketNumber, published yuccahinge.Millis) {
	var took []yuccahinge.Millis
	for _, h := range r.hosts {
		at, _ := h.at(n)
		took = append(took, at-published)
	}
	slices.Sort(took)
	r.report.HalfMs = max(r.report.HalfMs, quantile(took, 0.5))
	r.report.MostMs = max(r.report.MostMs, quantile(took, 0.99))
	r.report.LastMs = max(r.report.LastMs, took[len(took)-1])
}

func quantile(sorted []yuccahinge.Millis, q float64) yuccahinge.Millis {
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, at)]
}

func (r *run) perHost(v float64) float64 { return v / float64(r.plan.Hosts) }

// until waits until every host does what is asked.
func (r *run) until(ctx context.Context, limit yuccahinge.Millis, what string, does func(*host) bool) error {
	end := now() + limit
	for _, h := range r.hosts {
		for !does(h) {
			if now() > end {
				_, why := h.keeper.Ready()
				return fmt.Errorf("%s: not on %s after %v ms %s", what, h.keeper.Self.ID, limit, why)
			}
			if err := sleep(ctx, yuccahinge.MillisOf(pollEvery)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) checkBroken() error {
	for _, h := range r.hosts {
		h.mu.Lock()
		broken := h.broken
		h.mu.Unlock()
		if broken != "" {
			return fmt.Errorf("an invariant does not hold on %s: %s", h.keeper.Self.ID, broken)
		}
	}
	return nil
}

// sample is what the process has spent. Each byte between hosts is sent by one and received by another.
type sample struct {
	at        yuccahinge.Millis
	bytes     float64
	processor yuccahinge.Millis
}

func (r *run) sample() sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	spent := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return sample{at: now(), bytes: 2 * float64(r.bytes.Load()), processor: yuccahinge.MillisOf(spent)}
}

func (s sample) since(o sample) sample {
	return sample{at: s.at - o.at, bytes: s.bytes - o.bytes, processor: s.processor - o.processor}
}

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
