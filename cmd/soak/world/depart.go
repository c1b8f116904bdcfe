package world

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/drain"
)

// accept counts work that a graceful shutdown must not cut off.
func (h *host) accept(work, kind string) {
	h.inFlight++
	h.w.check.accepted(h, work, kind)
}

func (h *host) release(work string) {
	h.inFlight--
	h.w.check.released(h, work)
}

// depart begins a graceful shutdown.
func (h *host) depart() {
	if !h.alive || !h.drain.Ready() {
		return
	}
	now := h.w.now()
	h.w.check.count("host drain")
	h.note(string(h.id), "begins to leave")
	h.drain.Start(now)
	h.roster.Leave(now)
	h.exchangeAll()
	h.stepDrain(now)
}

// stepDrain goes on with a shutdown and reports whether the host lives on.
func (h *host) stepDrain(now yuccahinge.Millis) bool {
	phase := h.drain.Step(now, h.inFlight)
	if h.w.is(LeaveAtOnce) && !h.drain.Ready() {
		phase = drain.Done
	}
	if phase == drain.Closing {
		h.claims.Seal(now)
	}
	if phase != drain.Done {
		return true
	}
	h.w.check.left(h)
	h.w.kill(h, "has left")
	return false
}
