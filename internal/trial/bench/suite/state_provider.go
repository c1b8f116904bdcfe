package suite

import (
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// stateProvider provides the state in force at a host.
type stateProvider struct {
	held atomic.Pointer[heldState]
}

type heldState struct {
	state *yuccahinge.State
	since time.Time
}

func (p *stateProvider) set(s *yuccahinge.State) {
	p.held.Store(&heldState{state: s, since: time.Now()})
}

// State implements yuccahinge.StateProvider.
func (p *stateProvider) State() (*yuccahinge.State, yuccahinge.Millis) {
	e := p.held.Load()
	return e.state, yuccahinge.MillisOf(time.Since(e.since))
}
