package world

import (
	"encoding/json"
	"fmt"

	"github.com/yuccahinge/yuccahinge"
)

// callers holds the state of the fake callers, which send their requests through the load balancer.
type callers struct {
	lastSearch int
	// highestTickets holds the highest ticket in an answer to each caller.
	highestTickets [3]yuccahinge.TicketNumber
	lastKey        int
	lastCharge     int
}

const (
	searchIntervalMs = 250
	chargeIntervalMs = 450
	chargeCopies     = 3
	chargeAttempts   = 3
	poisonSends      = 4
	callerTimeoutMs  = 5 * yuccahinge.Second
)

func (w *World) startCallers() {
	w.after(2000, w.nextSearch)
	w.after(2000, w.nextCharge)
}

// pickListedHost draws a host that the load balancer lists as ready, or returns nil.
func (w *World) pickListedHost() *host {
	var ready []*host
	for _, s := range w.slots {
		if s.isListed {
			ready = append(ready, s.host)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return pick(w, ready)
}

// callHost sends a caller's request to a host. The request is lost if the host is down.
func (w *World) callHost(h *host, deliver func()) {
	w.send(callerPath, callerEndpoint, h.endpoint(), h, func() {
		if h.isAlive {
			deliver()
		}
	})
}

func (w *World) nextSearch() {
	w.after(w.exponential(searchIntervalMs), w.nextSearch)
	query := fmt.Sprintf("soup%d", w.rand.IntN(30))
	attempts := 1
	if w.chance(0.01) {
		query = fmt.Sprintf("death%d", w.rand.IntN(5))
		attempts = poisonSends
		w.check.count("query of death")
	}
	text, err := json.Marshal(query)
	if err != nil {
		panic(err)
	}
	w.sendSearch(w.rand.IntN(len(w.callers.highestTickets)), text, attempts)
}

// sendSearch sends a search of a caller, and retries it on a random host if the answer is not complete or doesn't
// arrive.
func (w *World) sendSearch(caller int, query json.RawMessage, attempts int) {
	h := w.pickListedHost()
	if h == nil || attempts == 0 {
		return
	}
	w.callers.lastSearch++
	r := yuccahinge.SearchRequest{
		RequestID:  yuccahinge.RequestID(fmt.Sprintf("q%d", w.callers.lastSearch)),
		Service:    searchService,
		Query:      query,
		DeadlineMs: w.uniform(50, 600),
	}
	switch w.rand.IntN(4) {
	case 0, 1:
		r.MinTicket = w.callers.highestTickets[caller]
	case 2:
		// The caller requires the newest ticket, whose number an operator has given it.
		r.MinTicket = w.platform.newest()
	}
	ended := false
	retry := func() {
		if !ended {
			ended = true
			w.sendSearch(caller, query, attempts-1)
		}
	}
	w.after(callerTimeoutMs, retry)
	w.callHost(h, func() {
		h.search(r, func(a *yuccahinge.SearchAnswer) {
			if a.Outcome != yuccahinge.Complete {
				retry()
				return
			}
			ended = true
			w.callers.highestTickets[caller] = max(w.callers.highestTickets[caller], a.Ticket)
		})
	})
}

func (w *World) nextCharge() {
	w.after(w.exponential(chargeIntervalMs), w.nextCharge)
	h := w.pickListedHost()
	if h == nil {
		return
	}
	w.callers.lastKey++
	key := fmt.Sprintf("invoice%d", w.callers.lastKey-w.rand.IntN(3))
	w.callHost(h, func() {
		h.grant(yuccahinge.ClaimRequest{Service: chargeService, Key: key}, func(g grantResult) {
			if g.err != nil {
				w.check.count("grant refused")
				return
			}
			w.check.count("grant")
			w.note("caller", string(g.grant.Claim), "has a claim for %s", key)
			w.send(callerPath, h.endpoint(), callerEndpoint, nil, func() { w.sendChargeCopies(g.grant.Claim, key) })
		})
	})
}

// sendChargeCopies sends copies of a charge under its claim to several hosts, at once or one after the other. Each copy is
// retried while its outcome is unknown.
func (w *World) sendChargeCopies(id yuccahinge.ClaimID, key string) {
	delay := w.uniform(0, 10)
	for range chargeCopies {
		w.after(delay, func() { w.chargeOnce(id, key, chargeAttempts) })
		if w.chance(0.5) {
			delay += w.exponential(1000)
		}
	}
}

func (w *World) chargeOnce(id yuccahinge.ClaimID, key string, attempts int) {
	h := w.pickListedHost()
	if h == nil || attempts == 0 {
		return
	}
	w.callers.lastCharge++
	r := yuccahinge.ChargeRequest{
		RequestID:  yuccahinge.RequestID(fmt.Sprintf("c%d", w.callers.lastCharge)),
		Service:    chargeService,
		Claim:      id,
		Body:       json.RawMessage(`"` + key + `"`),
		DeadlineMs: w.uniform(200, 1500),
	}
	w.callHost(h, func() {
		h.charge(r, func(c chargeResult) {
			if c.err == nil && c.answer.Outcome == yuccahinge.Unknown {
				w.after(w.exponential(2000), func() { w.chargeOnce(id, key, attempts-1) })
			}
		})
	})
}
