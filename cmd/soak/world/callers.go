package world

import (
	"encoding/json"
	"fmt"

	"github.com/yuccahinge/yuccahinge"
)

// callers are the fake callers behind the balancer.
type callers struct {
	serial int
	// seen is the highest ticket that each of them saw in an answer.
	seen    [3]yuccahinge.TicketNumber
	claims  int
	charges int
}

const (
	searchEveryMs = 250
	chargeEveryMs = 450
	chargeSends   = 3
	chargeResends = 3
	deathSends    = 4
	callerLimitMs = 5 * yuccahinge.Second
)

func (w *World) startCallers() {
	w.after(2000, w.nextSearch)
	w.after(2000, w.nextCharge)
}

// target draws a host that the balancer believes to be ready, or returns nil.
func (w *World) target() *host {
	var ready []*host
	for _, s := range w.slots {
		if s.listed {
			ready = append(ready, s.host)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return pick(w, ready)
}

// reach sends a caller's request to a host. A dead host refuses the connection.
func (w *World) reach(h *host, deliver func()) {
	w.send(callerPath, callerPlace, h.place(), h, func() {
		if h.alive {
			deliver()
		}
	})
}

func (w *World) nextSearch() {
	w.after(w.about(searchEveryMs), w.nextSearch)
	query := fmt.Sprintf("soup%d", w.rand.IntN(30))
	sends := 1
	if w.chance(0.01) {
		query = fmt.Sprintf("death%d", w.rand.IntN(5))
		sends = deathSends
		w.check.count("query of death")
	}
	text, err := json.Marshal(query)
	if err != nil {
		panic(err)
	}
	w.searchAs(w.rand.IntN(len(w.callers.seen)), text, sends)
}

// searchAs sends a search, and sends it again when it was not run or no answer came.
func (w *World) searchAs(who int, query json.RawMessage, sends int) {
	h := w.target()
	if h == nil || sends == 0 {
		return
	}
	w.callers.serial++
	r := yuccahinge.SearchRequest{
		RequestID:  yuccahinge.RequestID(fmt.Sprintf("q%d", w.callers.serial)),
		Service:    searchService,
		Query:      query,
		DeadlineMs: w.span(50, 600),
	}
	switch w.rand.IntN(4) {
	case 0, 1:
		r.MinTicket = w.callers.seen[who]
	case 2:
		// An operator has told the caller of the newest ticket.
		r.MinTicket = w.platform.newest()
	}
	ended := false
	again := func() {
		if !ended {
			ended = true
			w.searchAs(who, query, sends-1)
		}
	}
	w.after(callerLimitMs, again)
	w.reach(h, func() {
		h.search(r, func(a *yuccahinge.SearchAnswer) {
			if a.Outcome != yuccahinge.Complete {
				again()
				return
			}
			ended = true
			w.callers.seen[who] = max(w.callers.seen[who], a.Ticket)
		})
	})
}

func (w *World) nextCharge() {
	w.after(w.about(chargeEveryMs), w.nextCharge)
	h := w.target()
	if h == nil {
		return
	}
	w.callers.claims++
	key := fmt.Sprintf("invoice%d", w.callers.claims-w.rand.IntN(3))
	w.reach(h, func() {
		h.grant(yuccahinge.ClaimRequest{Service: chargeService, Key: key}, func(g grantResult) {
			if g.err != nil {
				w.check.count("grant refused")
				return
			}
			w.check.count("grant")
			w.note("caller", string(g.grant.Claim), "has a claim for %s", key)
			w.send(callerPath, h.place(), callerPlace, nil, func() { w.chargeAs(g.grant.Claim, key) })
		})
	})
}

// chargeAs sends a charge under its claim to several hosts, at once or one after the other, and again as long as
// nobody says what became of it.
func (w *World) chargeAs(id yuccahinge.ClaimID, key string) {
	at := w.span(0, 10)
	for range chargeSends {
		w.after(at, func() { w.chargeOnce(id, key, chargeResends) })
		if w.chance(0.5) {
			at += w.about(1000)
		}
	}
}

func (w *World) chargeOnce(id yuccahinge.ClaimID, key string, left int) {
	h := w.target()
	if h == nil || left == 0 {
		return
	}
	w.callers.charges++
	r := yuccahinge.ChargeRequest{
		RequestID:  yuccahinge.RequestID(fmt.Sprintf("c%d", w.callers.charges)),
		Service:    chargeService,
		Claim:      id,
		Body:       json.RawMessage(`"` + key + `"`),
		DeadlineMs: w.span(200, 1500),
	}
	w.reach(h, func() {
		h.charge(r, func(c chargeResult) {
			if c.err == nil && c.answer.Outcome == yuccahinge.Unknown {
				w.after(w.about(2000), func() { w.chargeOnce(id, key, left-1) })
			}
		})
	})
}
