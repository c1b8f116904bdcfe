package plat

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// maxValue bounds the bytes of a ticket.
const maxValue = 1 << 20

var (
	errTaken    = errors.New("ticket number is taken")
	errGap      = errors.New("ticket number leaves a gap")
	errNumber   = errors.New("ticket number must be above zero")
	errTooLarge = errors.New("ticket is over a megabyte")
)

// Publish stores a ticket. Force overwrites a number that is taken and may leave gaps.
func (p *Platform) Publish(t *yuccahinge.Ticket, force bool) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if len(body) > maxValue {
		return errTooLarge
	}
	if t.Number == 0 {
		return errNumber
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, taken := p.tickets[t.Number]; taken && !force {
		return errTaken
	}
	if t.Number > p.head+1 && !force {
		return errGap
	}
	p.tickets[t.Number] = t
	p.head = max(p.head, t.Number)
	p.wake()
	return nil
}

// wake lets all watches look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.moved)
	p.moved = make(chan struct{})
}

func (p *Platform) postPublish(w http.ResponseWriter, r *http.Request) {
	var t yuccahinge.Ticket
	if !wire.Decode(w, r, &t) {
		return
	}
	err := p.Publish(&t, r.FormValue("force") == "true")
	switch {
	case err == nil:
		wire.Reply(w, http.StatusOK, Head{Head: t.Number})
	case errors.Is(err, errTaken), errors.Is(err, errGap):
		wire.Problem(w, http.StatusConflict, err)
	case errors.Is(err, errTooLarge):
		wire.Problem(w, http.StatusRequestEntityTooLarge, err)
	default:
		wire.Problem(w, http.StatusBadRequest, err)
	}
}

func (p *Platform) putMembers(w http.ResponseWriter, r *http.Request) {
	var m Members
	if !wire.Decode(w, r, &m) {
		return
	}
	p.PutMembers(m)
	wire.Reply(w, http.StatusOK, m)
}

func (p *Platform) getControl(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, http.StatusOK, p.Counters())
}

// Counters returns what was counted so far.
func (p *Platform) Counters() Counters {
	members := len(p.members(time.Now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counted
	c.Calls = make(map[string]int, len(p.counted.Calls))
	for kind, n := range p.counted.Calls {
		c.Calls[kind] = n
	}
	c.CallsPerSecondMost = p.calls.peak()
	c.Head = p.head
	c.Members = members
	c.Faults = p.faults
	return c
}

// control is the body of POST /control: faults that last, and a freeze.
type control struct {
	*Faults
	FreezeMs yuccahinge.Millis `json:"freezeMs"`
}

func (p *Platform) postControl(w http.ResponseWriter, r *http.Request) {
	f := p.Counters().Faults
	c := control{Faults: &f}
	if !wire.Decode(w, r, &c) {
		return
	}
	p.Fault(func(now *Faults) { *now = f })
	if c.FreezeMs > 0 {
		p.gate.ShutFor(c.FreezeMs.Duration())
	}
	wire.Reply(w, http.StatusOK, f)
}

// Fault changes the faults in force.
func (p *Platform) Fault(change func(f *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := p.faults.Cut
	change(&p.faults)
	if p.faults.Cut && !cut {
		p.gate.Shut()
	}
	if !p.faults.Cut && cut {
		p.gate.Open()
	}
	p.wake()
}
