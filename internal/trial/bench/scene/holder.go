package scene

import (
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// holder gives a host its state.
type holder struct {
	entry atomic.Pointer[heldState]
}

type heldState struct {
	state *yuccahinge.State
	since time.Time
}

func (h *holder) set(s *yuccahinge.State) {
	h.entry.Store(&heldState{state: s, since: time.Now()})
}

// State implements yuccahinge.StateHolder.
func (h *holder) State() (*yuccahinge.State, yuccahinge.Millis) {
	e := h.entry.Load()
	return e.state, yuccahinge.MillisOf(time.Since(e.since))
}
