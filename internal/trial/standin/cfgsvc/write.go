package cfgsvc

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// maxTicketBytes is the maximum size of an encoded ticket.
const maxTicketBytes = 1 << 20

var (
	errNumberTaken    = errors.New("ticket number is already published")
	errGap            = errors.New("ticket number leaves a gap after the highest one")
	errNumberZero     = errors.New("ticket number must be above zero")
	errTicketTooLarge = errors.New("ticket is larger than 1 MiB")
)

// Publish stores a ticket. With force it overwrites a ticket of the same number and allows gaps between numbers.
func (p *Platform) Publish(t *yuccahinge.Ticket, force bool) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if len(body) > maxTicketBytes {
		return errTicketTooLarge
	}
	if t.Number == 0 {
		return errNumberZero
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, taken := p.tickets[t.Number]; taken && !force {
		return errNumberTaken
	}
	if t.Number > p.head+1 && !force {
		return errGap
	}
	p.tickets[t.Number] = t
	p.head = max(p.head, t.Number)
	p.wakeWatches()
	return nil
}

// wakeWatches makes all watches read the head and the faults again. The caller must hold p.mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) postPublish(w http.ResponseWriter, r *http.Request) {
	var t yuccahinge.Ticket
	if !httpio.ReadJSON(w, r, &t) {
		return
	}
	err := p.Publish(&t, r.FormValue("force") == "true")
	switch {
	case err == nil:
		httpio.WriteJSON(w, http.StatusOK, Head{Head: t.Number})
	case errors.Is(err, errNumberTaken), errors.Is(err, errGap):
		httpio.WriteError(w, http.StatusConflict, err)
	case errors.Is(err, errTicketTooLarge):
		httpio.WriteError(w, http.StatusRequestEntityTooLarge, err)
	default:
		httpio.WriteError(w, http.StatusBadRequest, err)
	}
}

func (p *Platform) putMembers(w http.ResponseWriter, r *http.Request) {
	var m Members
	if !httpio.ReadJSON(w, r, &m) {
		return
	}
	p.PutMembers(m)
	httpio.WriteJSON(w, http.StatusOK, m)
}

func (p *Platform) getControl(w http.ResponseWriter, _ *http.Request) {
	httpio.WriteJSON(w, http.StatusOK, p.Counters())
}

// Counters returns a copy of the counters, with the injected faults.
func (p *Platform) Counters() Counters {
	members := len(p.visibleMembers(time.Now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.ReadsByKind = make(map[string]int, len(p.counters.ReadsByKind))
	for kind, n := range p.counters.ReadsByKind {
		c.ReadsByKind[kind] = n
	}
	c.MaxReadsPerSecond = p.budget.peak()
	c.Head = p.head
	c.Members = members
	c.Faults = p.faults
	return c
}

// controlRequest is the body of POST /control: faults that stay until changed, and a time for which connections block.
type controlRequest struct {
	*Faults
	// FreezeMs blocks the connections of reading hosts for this time; at its end, connections that Cut blocks pass again too.
	FreezeMs yuccahinge.Millis `json:"freezeMs"`
}

func (p *Platform) postControl(w http.ResponseWriter, r *http.Request) {
	f := p.Counters().Faults
	c := controlRequest{Faults: &f}
	if !httpio.ReadJSON(w, r, &c) {
		return
	}
	p.UpdateFaults(func(active *Faults) { *active = f })
	if c.FreezeMs > 0 {
		p.gate.CloseFor(c.FreezeMs.Duration())
	}
	httpio.WriteJSON(w, http.StatusOK, f)
}

// UpdateFaults updates the injected faults with change and wakes all watches.
func (p *Platform) UpdateFaults(change func(f *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasCut := p.faults.Cut
	change(&p.faults)
	if p.faults.Cut && !wasCut {
		p.gate.Close()
	}
	if !p.faults.Cut && wasCut {
		p.gate.Open()
	}
	p.wakeWatches()
}
