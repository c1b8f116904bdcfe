package cfgsvc

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
	"github.com/yuccahinge/yuccahinge/ticket"
)

var (
	errBudgetExceeded = errors.New("read budget of this second is exhausted")
	errDown           = errors.New("down")
	errTicketNotFound = errors.New("ticket not found")
)

// maxWatchWait is the maximum duration of a watch, that is a long poll of the head.
const maxWatchWait = 60 * yuccahinge.Second

// Head is the answer of GET /v1/head with the highest ticket number, and that of POST /publish with the published one.
type Head struct {
	Head yuccahinge.TicketNumber `json:"head"`
}

// withBudget counts each read, refused ones too, and answers 429 above the budget, or 503 under the Down fault.
func (p *Platform) withBudget(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		withinBudget := p.budget.allow(time.Now())
		faults := p.recordRead(kind, withinBudget)
		if !withinBudget {
			httpio.WriteError(w, http.StatusTooManyRequests, errBudgetExceeded)
			return
		}
		time.Sleep(faults.AnswerMs.Duration())
		if faults.Down {
			httpio.WriteError(w, http.StatusServiceUnavailable, errDown)
			return
		}
		next(w, r)
	}
}

// recordRead counts a read and returns the injected faults.
func (p *Platform) recordRead(kind string, withinBudget bool) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counters.ReadsByKind == nil {
		p.counters.ReadsByKind = map[string]int{}
	}
	p.counters.ReadsByKind[kind]++
	if !withinBudget {
		p.counters.RefusedReads++
	}
	return p.faults
}

// getHead is a long poll: it waits until the head is above after, at most waitMs.
func (p *Platform) getHead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseFloat(r.FormValue("waitMs"), 64)
	p.addWatches(1)
	defer p.addWatches(-1)
	timer := time.NewTimer(min(yuccahinge.Millis(waitMs), maxWatchWait).Duration())
	defer timer.Stop()
	for {
		head, changed, faults := p.headState()
		if faults.Down {
			httpio.WriteError(w, http.StatusServiceUnavailable, errDown)
			return
		}
		if head > yuccahinge.TicketNumber(after) {
			httpio.WriteJSON(w, http.StatusOK, Head{Head: head})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			httpio.WriteJSON(w, http.StatusOK, Head{Head: head})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) addWatches(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.PendingWatches += delta
}

// headState returns the head that is served to hosts, a channel that is closed at the next change, and the injected faults.
func (p *Platform) headState() (yuccahinge.TicketNumber, <-chan struct{}, Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.visibleHead(), p.changed, p.faults
}

// visibleHead returns the highest ticket number that is served to hosts. The caller must hold p.mu.
func (p *Platform) visibleHead() yuccahinge.TicketNumber {
	if p.faults.Stale != nil {
		return min(p.faults.Stale.Head, p.head)
	}
	return p.head
}

func (p *Platform) getTicket(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		httpio.WriteError(w, http.StatusBadRequest, err)
		return
	}
	t := p.visibleTicket(yuccahinge.TicketNumber(n))
	if t == nil {
		httpio.WriteError(w, http.StatusNotFound, errTicketNotFound)
		return
	}
	httpio.WriteJSON(w, http.StatusOK, t)
}

// visibleTicket returns nil if the ticket is not served to hosts.
func (p *Platform) visibleTicket(n yuccahinge.TicketNumber) *yuccahinge.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > p.visibleHead() {
		return nil
	}
	return p.tickets[n]
}

func (p *Platform) getState(w http.ResponseWriter, _ *http.Request) {
	httpio.WriteJSON(w, http.StatusOK, p.currentState())
}

// currentState applies the tickets up to the visible head. It stops before the first one that is missing or invalid,
// because the system refuses an invalid ticket whole.
func (p *Platform) currentState() *yuccahinge.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := new(yuccahinge.State)
	for n := yuccahinge.TicketNumber(1); n <= p.visibleHead(); n++ {
		t := p.tickets[n]
		if t == nil {
			return state
		}
		next, err := ticket.Apply(state, t)
		if err != nil {
			return state
		}
		state = next
	}
	return state
}

func (p *Platform) getMembers(w http.ResponseWriter, _ *http.Request) {
	httpio.WriteJSON(w, http.StatusOK, Members{Members: p.visibleMembers(time.Now())})
}
