package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/drain"
)

// accept counts work as in flight: a graceful shutdown waits until it is released.
func (h *host) accept(work, kind string) {
	h.inFlight++
	h.w.check.recordAccepted(h, work, kind)
}

func (h *host) release(work string) {
	h.inFlight--
	h.w.check.recordReleased(h, work)
}

// startDrain begins a graceful shutdown.
func (h *host) startDrain() {
	if !h.isAlive || !h.drain.Ready() {
		return
	}
	now := h.w.now()
	h.w.check.count("host drain")
	h.note(string(h.id), "begins to leave")
	h.drain.Start(now)
	h.roster.MarkLeaving(now)
	h.exchangeAll()
	h.stepDrain(now)
}

// stepDrain advances the graceful shutdown and reports whether the host goes on running.
func (h *host) stepDrain(now yuccahinge.Millis) bool {
	phase := h.drain.Step(now, h.inFlight)
	if h.w.hasBreak(LeaveAtOnce) && !h.drain.Ready() {
		phase = drain.Done
	}
	if phase == drain.Closing {
		h.claims.Seal(now)
	}
	if phase != drain.Done {
		return true
	}
	h.w.check.checkExit(h)
	h.w.kill(h, "has left")
	return false
}
