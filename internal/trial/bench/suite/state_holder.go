package suite

import (
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// stateHolder holds the state in force at a host.
type stateHolder struct {
	held atomic.Pointer[heldState]
}

type heldState struct {
	state *yuccahinge.State
	since time.Time
}

func (h *stateHolder) set(s *yuccahinge.State) {
	h.held.Store(&heldState{state: s, since: time.Now()})
}

// State implements yuccahinge.StateHolder.
func (h *stateHolder) State() (*yuccahinge.State, yuccahinge.Millis) {
	e := h.held.Load()
	return e.state, yuccahinge.MillisOf(time.Since(e.since))
}
