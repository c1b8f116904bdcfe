package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// hugeReplyBytes is the size of a reply under the HugeReply fault.
const hugeReplyBytes = 100 << 20

func (i *instance) handleQuery(w http.ResponseWriter, r *http.Request) {
	var req yuccahinge.ShardRequest
	if !httpio.ReadJSON(w, r, &req) {
		return
	}
	i.searcher.counters.update(func(c *Counters) { c.Received++ })
	reply := yuccahinge.ShardReply{
		RequestID:    req.RequestID,
		Attempt:      req.Attempt,
		Shard:        req.Shard,
		IndexVersion: req.IndexVersion,
	}
	f := i.searcher.faults.Load()
	reply.Outcome, reply.Reason = i.run(r.Context(), f, &task{
		deadline:       req.DeadlineMs,
		crash:          f.CrashOn != "" && strings.Contains(string(req.Query), f.CrashOn),
		versionMissing: len(f.Versions) > 0 && !slices.Contains(f.Versions, req.IndexVersion),
	})
	reply.Load = i.report()
	if reply.Outcome == yuccahinge.Ran {
		reply.Hits = Hits(&req, i.searcher.cfg.HitsPerShard)
	}
	if f.WrongEcho {
		reply.Attempt++
	}
	i.writeReply(w, r, f, reply.Outcome, reply)
}

func (i *instance) handleCharge(w http.ResponseWriter, r *http.Request) {
	var call yuccahinge.ChargeCall
	if !httpio.ReadJSON(w, r, &call) {
		return
	}
	i.searcher.counters.update(func(c *Counters) { c.Received++ })
	f := i.searcher.faults.Load()
	reply := yuccahinge.ChargeReply{RequestID: call.RequestID, Claim: call.Claim}
	reply.Outcome, reply.Reason = i.run(r.Context(), f, &task{
		deadline: call.DeadlineMs,
		crash:    f.CrashOn != "" && strings.Contains(string(call.Body), f.CrashOn),
		onStart:  func() { i.searcher.counters.recordCharge(call.Key, call.Claim) },
	})
	reply.Load = i.report()
	if reply.Outcome == yuccahinge.Ran {
		reply.Result, _ = json.Marshal(map[string]any{"receipt": call.Key, "searcher": i.searcher.cfg.ID})
	}
	if f.WrongEcho {
		reply.Claim += "x"
	}
	i.writeReply(w, r, f, reply.Outcome, reply)
}

// task is a query or charge to run.
type task struct {
	deadline yuccahinge.Millis
	// crash makes the run crash the searcher.
	crash bool
	// versionMissing reports whether the searcher does not hold the index version.
	versionMissing bool
	// onStart is called when the run gets its slot; it may be nil.
	onStart func()
}

var errDeadline = errors.New("deadline exceeded while queued")

// run waits for a slot, then for the service time of the task. An empty outcome means that the caller disconnected
// or the searcher crashed, so that no reply is sent.
func (i *instance) run(ctx context.Context, f *Faults, t *task) (yuccahinge.Outcome, yuccahinge.Reason) {
	if f.Drain {
		i.searcher.counters.update(func(c *Counters) { c.RefusedDraining++ })
		return yuccahinge.NotRun, yuccahinge.ReasonDraining
	}
	if t.versionMissing {
		i.searcher.counters.update(func(c *Counters) { c.RefusedVersion++ })
		return yuccahinge.NotRun, yuccahinge.ReasonVersionUnavailable
	}
	if f.Shed || i.willMissDeadline(t.deadline) {
		return i.shed()
	}
	err := i.acquireSlot(ctx, t.deadline)
	if errors.Is(err, errQueueFull) || errors.Is(err, errDeadline) {
		return i.shed()
	}
	if err != nil {
		i.searcher.counters.update(func(c *Counters) { c.CanceledQueued++ })
		return "", ""
	}
	defer i.slots.release()
	return i.execute(ctx, f, t)
}

// shed counts a request as shed and returns the outcome of its reply.
func (i *instance) shed() (yuccahinge.Outcome, yuccahinge.Reason) {
	i.searcher.counters.update(func(c *Counters) { c.Shed++ })
	return yuccahinge.NotRun, yuccahinge.ReasonShed
}

// willMissDeadline reports whether the expected wait in the queue is longer than the deadline. It expects the median
// service time of each queued request.
func (i *instance) willMissDeadline(deadline yuccahinge.Millis) bool {
	if deadline <= 0 {
		return false
	}
	running, queued := i.slots.usage()
	if running < i.searcher.cfg.Slots {
		return false
	}
	wait := i.searcher.cfg.MedianMs * yuccahinge.Millis(queued+1) / yuccahinge.Millis(i.searcher.cfg.Slots)
	return wait > deadline
}

// acquireSlot waits for a slot, at most until the deadline; zero means no deadline.
func (i *instance) acquireSlot(ctx context.Context, deadline yuccahinge.Millis) error {
	if deadline > 0 {
		withDeadline, stop := context.WithTimeoutCause(ctx, deadline.Duration(), errDeadline)
		defer stop()
		ctx = withDeadline
	}
	return i.slots.acquire(ctx, func(n int) {
		i.searcher.counters.update(func(c *Counters) { c.MaxQueued = max(c.MaxQueued, n) })
	})
}

// execute runs a task that holds a slot.
func (i *instance) execute(ctx context.Context, f *Faults, t *task) (yuccahinge.Outcome, yuccahinge.Reason) {
	i.searcher.counters.update(func(c *Counters) { c.Runs++ })
	if t.onStart != nil {
		t.onStart()
	}
	if t.crash {
		i.crash(false)
		return "", ""
	}
	timer := time.NewTimer(i.searcher.serviceTime(f, i))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		i.searcher.counters.update(func(c *Counters) { c.CanceledRunning++ })
		return "", ""
	case <-i.ctx.Done():
		return "", ""
	}
	if !i.searcher.gate.Wait(i.ctx.Done()) {
		return "", ""
	}
	i.searcher.counters.update(func(c *Counters) { c.Finished++ })
	return yuccahinge.Ran, ""
}

// writeReply writes a reply, changed by the HugeReply and Truncate faults. With an empty outcome it aborts the request.
func (i *instance) writeReply(w http.ResponseWriter, r *http.Request, f *Faults, outcome yuccahinge.Outcome, reply any) {
	if outcome == "" {
		panic(http.ErrAbortHandler)
	}
	if f.HugeReply {
		writeHuge(r.Context(), w)
		return
	}
	if f.Truncate {
		writeTruncated(w, reply)
		return
	}
	status := http.StatusOK
	if outcome == yuccahinge.NotRun {
		status = http.StatusServiceUnavailable
	}
	httpio.WriteJSON(w, status, reply)
}

func writeTruncated(w http.ResponseWriter, reply any) {
	body, _ := json.Marshal(reply)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeHuge(ctx context.Context, w http.ResponseWriter) {
	chunk := []byte(strings.Repeat(" ", 1<<16))
	for written := 0; written < hugeReplyBytes && ctx.Err() == nil; written += len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
