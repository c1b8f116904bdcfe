package back

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// hugeBytes is the size of a reply under the HugeReply fault.
const hugeBytes = 100 << 20

func (l *life) query(w http.ResponseWriter, r *http.Request) {
	var q yuccahinge.ShardRequest
	if !wire.Decode(w, r, &q) {
		return
	}
	l.s.tally.add(func(c *Counters) { c.Received++ })
	reply := yuccahinge.ShardReply{
		RequestID:    q.RequestID,
		Attempt:      q.Attempt,
		Shard:        q.Shard,
		IndexVersion: q.IndexVersion,
	}
	f := l.s.faults.Load()
	reply.Outcome, reply.Reason = l.run(r.Context(), f, &task{
		deadline: q.DeadlineMs,
		crashes:  f.CrashOn != "" && strings.Contains(string(q.Query), f.CrashOn),
		unknown:  len(f.Versions) > 0 && !slices.Contains(f.Versions, q.IndexVersion),
	})
	reply.Load = l.report()
	if reply.Outcome == yuccahinge.Ran {
		reply.Hits = Hits(&q, l.s.cfg.HitsPerShard)
	}
	if f.WrongEcho {
		reply.Attempt++
	}
	l.answer(w, r, f, reply.Outcome, reply)
}

func (l *life) charge(w http.ResponseWriter, r *http.Request) {
	var c yuccahinge.ChargeCall
	if !wire.Decode(w, r, &c) {
		return
	}
	l.s.tally.add(func(c *Counters) { c.Received++ })
	f := l.s.faults.Load()
	reply := yuccahinge.ChargeReply{RequestID: c.RequestID, Claim: c.Claim}
	reply.Outcome, reply.Reason = l.run(r.Context(), f, &task{
		deadline: c.DeadlineMs,
		crashes:  f.CrashOn != "" && strings.Contains(string(c.Body), f.CrashOn),
		started:  func() { l.s.tally.charge(c.Key, c.Claim) },
	})
	reply.Load = l.report()
	if reply.Outcome == yuccahinge.Ran {
		reply.Result, _ = json.Marshal(map[string]any{"receipt": c.Key, "searcher": l.s.cfg.ID})
	}
	if f.WrongEcho {
		reply.Claim += "x"
	}
	l.answer(w, r, f, reply.Outcome, reply)
}

// task is one run to be.
type task struct {
	deadline yuccahinge.Millis
	crashes  bool
	// unknown means that the index version is not held.
	unknown bool
	// started is called when the run takes its slot; it may be nil.
	started func()
}

var errDeadline = errors.New("deadline passed in the queue")

// run gives the task its slot and its service time. An empty outcome means that the caller went or the
// searcher crashed, and that nobody waits for a reply.
func (l *life) run(ctx context.Context, f *Faults, t *task) (yuccahinge.Outcome, yuccahinge.Reason) {
	if f.Drain {
		l.s.tally.add(func(c *Counters) { c.Draining++ })
		return yuccahinge.NotRun, yuccahinge.ReasonDraining
	}
	if t.unknown {
		l.s.tally.add(func(c *Counters) { c.Version++ })
		return yuccahinge.NotRun, yuccahinge.ReasonVersion
	}
	if f.Shed || l.hopeless(t.deadline) {
		return l.shed()
	}
	err := l.queue(ctx, t.deadline)
	if errors.Is(err, errQueueFull) || errors.Is(err, errDeadline) {
		return l.shed()
	}
	if err != nil {
		l.s.tally.add(func(c *Counters) { c.Cancelled++ })
		return "", ""
	}
	defer l.slots.give()
	return l.work(ctx, f, t)
}

func (l *life) shed() (yuccahinge.Outcome, yuccahinge.Reason) {
	l.s.tally.add(func(c *Counters) { c.Shed++ })
	return yuccahinge.NotRun, yuccahinge.ReasonShed
}

// hopeless reports whether the wait in the queue is expected to pass the deadline.
func (l *life) hopeless(deadline yuccahinge.Millis) bool {
	if deadline <= 0 {
		return false
	}
	running, queued := l.slots.load()
	if running < l.s.cfg.Slots {
		return false
	}
	wait := l.s.cfg.MedianMs * yuccahinge.Millis(queued+1) / yuccahinge.Millis(l.s.cfg.Slots)
	return wait > deadline
}

func (l *life) queue(ctx context.Context, deadline yuccahinge.Millis) error {
	if deadline > 0 {
		timed, stop := context.WithTimeoutCause(ctx, deadline.Duration(), errDeadline)
		defer stop()
		ctx = timed
	}
	return l.slots.take(ctx, func(n int) {
		l.s.tally.add(func(c *Counters) { c.QueueMost = max(c.QueueMost, n) })
	})
}

func (l *life) work(ctx context.Context, f *Faults, t *task) (yuccahinge.Outcome, yuccahinge.Reason) {
	l.s.tally.add(func(c *Counters) { c.Runs++ })
	if t.started != nil {
		t.started()
	}
	if t.crashes {
		l.crash(false)
		return "", ""
	}
	timer := time.NewTimer(l.s.serviceTime(f, l))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		l.s.tally.add(func(c *Counters) { c.StartedCanceled++ })
		return "", ""
	case <-l.ctx.Done():
		return "", ""
	}
	if !l.s.gate.Wait(l.ctx.Done()) {
		return "", ""
	}
	l.s.tally.add(func(c *Counters) { c.Finished++ })
	return yuccahinge.Ran, ""
}

// answer writes a reply as the faults in force distort it.
func (l *life) answer(w http.ResponseWriter, r *http.Request, f *Faults, o yuccahinge.Outcome, reply any) {
	if o == "" {
		panic(http.ErrAbortHandler)
	}
	if f.HugeReply {
		writeHuge(r.Context(), w)
		return
	}
	if f.Truncate {
		writeHalf(w, reply)
		return
	}
	status := http.StatusOK
	if o == yuccahinge.NotRun {
		status = http.StatusServiceUnavailable
	}
	wire.Reply(w, status, reply)
}

func writeHalf(w http.ResponseWriter, reply any) {
	body, _ := json.Marshal(reply)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeHuge(ctx context.Context, w http.ResponseWriter) {
	chunk := []byte(strings.Repeat(" ", 1<<16))
	for n := 0; n < hugeBytes && ctx.Err() == nil; n += len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
