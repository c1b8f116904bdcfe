package assess

import "github.com/yuccahinge/yuccahinge"

// hold is a time without calls for a searcher, followed by a trial: the next calls must go well, or a longer hold begins.
type hold struct {
	since, until yuccahinge.Millis
	length       yuccahinge.Millis
	// trialsLeft is the number of calls that must still go well; zero if there was no hold.
	trialsLeft int
}

// begin begins a hold, unless one is active.
func (h *hold) begin(now yuccahinge.Millis) {
	if h.isActive(now) {
		return
	}
	if h.trialsLeft == 0 {
		h.since, h.length = now, firstHoldMs
	} else {
		h.length = min(2*h.length, maxHoldMs)
	}
	h.until, h.trialsLeft = now+h.length, goodTrials
}

func (h *hold) isActive(now yuccahinge.Millis) bool { return now < h.until }

func (h *hold) isOnTrial(now yuccahinge.Millis) bool { return h.trialsLeft > 0 && !h.isActive(now) }

// isOngoing reports whether the hold is active or its trial is not over.
func (h *hold) isOngoing() bool { return h.trialsLeft > 0 }

// recordGood records a call that went well. Calls that end during the hold began before it.
func (h *hold) recordGood(now yuccahinge.Millis) {
	if h.isOnTrial(now) {
		h.trialsLeft--
	}
}
