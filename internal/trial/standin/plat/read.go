package plat

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
	"github.com/yuccahinge/yuccahinge/ticket"
)

var (
	errBudget = errors.New("call budget spent")
	errDown   = errors.New("down")
	errAbsent = errors.New("no such ticket")
)

// mostWait bounds how long a watch waits.
const mostWait = 60 * yuccahinge.Second

// Head is the answer of GET /v1/head.
type Head struct {
	Head yuccahinge.TicketNumber `json:"head"`
}

// counting counts a read against the budget before it is answered.
func (p *Platform) counting(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		within := p.calls.take(time.Now())
		faults := p.count(kind, within)
		if !within {
			wire.Problem(w, http.StatusTooManyRequests, errBudget)
			return
		}
		time.Sleep(faults.AnswerMs.Duration())
		if faults.Down {
			wire.Problem(w, http.StatusServiceUnavailable, errDown)
			return
		}
		next(w, r)
	}
}

func (p *Platform) count(kind string, within bool) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counted.Calls == nil {
		p.counted.Calls = map[string]int{}
	}
	p.counted.Calls[kind]++
	if !within {
		p.counted.Refused++
	}
	return p.faults
}

func (p *Platform) getHead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseFloat(r.FormValue("waitMs"), 64)
	p.watching(1)
	defer p.watching(-1)
	timer := time.NewTimer(min(yuccahinge.Millis(waitMs), mostWait).Duration())
	defer timer.Stop()
	for {
		head, moved, faults := p.look()
		if faults.Down {
			wire.Problem(w, http.StatusServiceUnavailable, errDown)
			return
		}
		if head > yuccahinge.TicketNumber(after) {
			wire.Reply(w, http.StatusOK, Head{Head: head})
			return
		}
		select {
		case <-moved:
		case <-timer.C:
			wire.Reply(w, http.StatusOK, Head{Head: head})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) watching(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counted.Watching += n
}

// look returns the number served now, and the channel that closes at the next change.
func (p *Platform) look() (yuccahinge.TicketNumber, <-chan struct{}, Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served(), p.moved, p.faults
}

// served returns the number that readers see. The caller holds the lock.
func (p *Platform) served() yuccahinge.TicketNumber {
	if p.faults.Stale != nil {
		return min(p.faults.Stale.Head, p.head)
	}
	return p.head
}

func (p *Platform) getTicket(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		wire.Problem(w, http.StatusBadRequest, err)
		return
	}
	t := p.find(yuccahinge.TicketNumber(n))
	if t == nil {
		wire.Problem(w, http.StatusNotFound, errAbsent)
		return
	}
	wire.Reply(w, http.StatusOK, t)
}

func (p *Platform) find(n yuccahinge.TicketNumber) *yuccahinge.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > p.served() {
		return nil
	}
	return p.tickets[n]
}

func (p *Platform) getState(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, http.StatusOK, p.state())
}

// state folds the tickets up to the number served. It ends before the first one that does not fold, since
// the system refuses such a ticket whole.
func (p *Platform) state() *yuccahinge.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := new(yuccahinge.State)
	for n := yuccahinge.TicketNumber(1); n <= p.served(); n++ {
		t := p.tickets[n]
		if t == nil {
			return state
		}
		next, err := ticket.Fold(state, t)
		if err != nil {
			return state
		}
		state = next
	}
	return state
}

func (p *Platform) getMembers(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, http.StatusOK, Members{Members: p.members(time.Now())})
}
