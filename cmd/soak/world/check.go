package world

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// checker records what actually ran in the simulation and compares it with what hosts do and report.
type checker struct {
	w      *World
	counts map[string]int
	// indexes holds the number of shards of each index version.
	indexes map[yuccahinge.IndexVersion]int
	// runs counts the runs of each claim. shards lists the shards that ran for each request.
	runs   map[string]int
	shards map[string][]yuccahinge.ShardID
	// notRun holds the requests and claims that a host reported as not run, each with the reason.
	notRun map[string]string
	// drainingSince holds, for each incarnation of a searcher, when each host recorded that it is draining.
	drainingSince map[yuccahinge.Incarnation]map[*host]yuccahinge.Millis
	// inFlight holds the kind of each request or run that a host has accepted and not finished.
	inFlight map[*host]map[string]string
	// digests holds the state digest of each ticket number that a host has put in force.
	digests map[*host]map[yuccahinge.TicketNumber]yuccahinge.Digest
	pins    map[string]pin
}

// pin holds what a query uses from its start to its answer.
type pin struct {
	ticket   yuccahinge.TicketNumber
	holidays []string
}

const (
	// drainingSpreadMs is the time within which connected hosts know of a draining searcher.
	drainingSpreadMs = 5 * yuccahinge.Second
	// ticketSpreadMs is the time within which connected hosts put a ticket in force.
	ticketSpreadMs    = 8 * yuccahinge.Second
	monitorIntervalMs = 250
)

func (c *checker) start(w *World) {
	c.w = w
	c.counts = make(map[string]int)
	c.indexes = make(map[yuccahinge.IndexVersion]int)
	c.runs = make(map[string]int)
	c.shards = make(map[string][]yuccahinge.ShardID)
	c.notRun = make(map[string]string)
	c.drainingSince = make(map[yuccahinge.Incarnation]map[*host]yuccahinge.Millis)
	c.inFlight = make(map[*host]map[string]string)
	c.digests = make(map[*host]map[yuccahinge.TicketNumber]yuccahinge.Digest)
	c.pins = make(map[string]pin)
}

func (c *checker) count(what string) { c.counts[what]++ }

// recordRun records that a searcher starts to run an attempt.
func (c *checker) recordRun(s *searcher, a *attempt) {
	key := a.key()
	s.w.note(string(s.id), key, "runs attempt %d at shard %d", a.id, a.request.Shard)
	if why, ok := c.notRun[key]; ok {
		s.w.fail(TrueOutcome, []string{key}, "%s runs %s, which was reported as notRun (%s)", s.id, key, why)
	}
	if a.charge == nil {
		c.shards[key] = append(c.shards[key], a.request.Shard)
		return
	}
	c.runs[key]++
	c.count("charge run")
	if c.runs[key] > 1 {
		s.w.fail(AtMostOnce, []string{key}, "%s runs claim %s, run %d of it", s.id, key, c.runs[key])
	}
}

// recordNotRun records that a host reports a request or claim as not run.
func (c *checker) recordNotRun(key, why string) {
	if c.runs[key] > 0 || len(c.shards[key]) > 0 {
		c.w.fail(TrueOutcome, []string{key}, "%s is reported as notRun (%s), but it ran", key, why)
	}
	c.notRun[key] = why
}

// checkPin records the state that a query pins and checks its age.
func (c *checker) checkPin(q *query, s *yuccahinge.State) {
	h := q.host
	c.pins[q.id()] = pin{ticket: s.Ticket, holidays: s.Calendars[calendar].Holidays}
	if s.Ticket < q.request.MinTicket {
		c.w.fail(MinTicket, []string{q.id()}, "%s pins ticket %d for a request with minimum ticket %d", h.id, s.Ticket, q.request.MinTicket)
	}
	resumed := h.pausedUntil
	if h.pauseMs > pauseLimitMs && h.repliedCallAt < resumed && h.firstQuerySince(resumed, q.arrived)+compareTimeoutMs > c.w.now() {
		c.w.fail(AfterPause, []string{q.id(), string(h.id)}, "%s pins a state after a pause of %.0f ms before a peer has replied", h.id, float64(h.pauseMs))
	}
}

// firstQuerySince returns when the first query after a pause of the host's process began to wait. The first call after the
// pause sets it.
func (h *host) firstQuerySince(resumed, arrived yuccahinge.Millis) yuccahinge.Millis {
	if h.firstQueryAt < resumed {
		h.firstQueryAt = max(arrived, resumed)
	}
	return h.firstQueryAt
}

// checkAnswer checks an answer before it is sent to the caller.
func (c *checker) checkAnswer(q *query, a *yuccahinge.SearchAnswer) {
	key := q.id()
	if a.RequestID != q.request.RequestID {
		c.w.fail(OwnReply, []string{key}, "an answer to %s is sent for %s", a.RequestID, key)
	}
	if a.Ticket != c.pins[key].ticket {
		c.w.fail(Snapshot, []string{key}, "%s pinned ticket %d and answers at %d", key, c.pins[key].ticket, a.Ticket)
	}
	if a.Outcome == yuccahinge.NotRun {
		c.recordNotRun(key, "search")
	}
	covered := c.checkHits(q, a)
	c.checkCoverage(key, a, covered)
	if a.Outcome == yuccahinge.Complete && len(a.Coverage.Lacking) > 0 {
		c.w.fail(Coverage, []string{key}, "a complete answer lacks %v", a.Coverage.Lacking)
	}
}

// checkHits checks the documents of an answer and returns the sorted shards that they come from.
func (c *checker) checkHits(q *query, a *yuccahinge.SearchAnswer) []yuccahinge.ShardID {
	key := q.id()
	var out []yuccahinge.ShardID
	for _, hit := range a.Hits {
		var o origin
		if err := json.Unmarshal(hit.Doc, &o); err != nil {
			c.w.fail(NoPartFailure, []string{key}, "%v", err)
			return nil
		}
		out = append(out, o.Shard)
		if o.Request != q.request.RequestID {
			c.w.fail(OwnReply, []string{key}, "the answer to %s holds a document found for %s", key, o.Request)
		}
		if o.Version != a.IndexVersion || o.Ticket != a.Ticket || !slices.Equal(o.Holidays, c.pins[key].holidays) {
			c.w.fail(Snapshot, []string{key}, "the answer at ticket %d and version %d holds a document of ticket %d, version %d, calendar %v", a.Ticket, a.IndexVersion, o.Ticket, o.Version, o.Holidays)
		}
	}
	slices.Sort(out)
	return out
}

// checkCoverage checks that covered and lacking shards together are the shard map of the index version.
func (c *checker) checkCoverage(key string, a *yuccahinge.SearchAnswer, found []yuccahinge.ShardID) {
	reported := parseRanges(a.Coverage.Covered)
	if !slices.Equal(reported, found) {
		c.w.fail(Coverage, []string{key}, "the answer to %s reports coverage of shards %v but holds documents of %v", key, reported, found)
	}
	for _, id := range reported {
		if !slices.Contains(c.shards[key], id) {
			c.w.fail(Coverage, []string{key}, "the answer to %s reports coverage of shard %d, which ran nowhere", key, id)
		}
	}
	for _, l := range a.Coverage.Lacking {
		reported = append(reported, l.Shard)
	}
	slices.Sort(reported)
	n := c.indexes[a.IndexVersion]
	if len(reported) != n || a.Coverage.Total != n || len(slices.Compact(reported)) != n || n > 0 && int(reported[n-1]) != n-1 {
		c.w.fail(Coverage, []string{key}, "the answer to %s covers or lacks shards %v, but the index has %d shards", key, reported, n)
	}
}

// parseRanges expands a list of shards and shard ranges, such as "3" and "5-8".
func parseRanges(list []string) []yuccahinge.ShardID {
	var out []yuccahinge.ShardID
	for _, text := range list {
		from, to, found := strings.Cut(text, "-")
		if !found {
			to = from
		}
		first, _ := strconv.Atoi(from)
		last, _ := strconv.Atoi(to)
		for id := first; id <= last; id++ {
			out = append(out, yuccahinge.ShardID(id))
		}
	}
	return out
}

// checkChargeAnswer compares the outcome that a host reports for a charge with the runs of its claim.
func (c *checker) checkChargeAnswer(id yuccahinge.ClaimID, r chargeResult) {
	key := string(id)
	outcome := r.answer.Outcome
	if r.err != nil {
		outcome = outcomeOf(r.err)
		c.count("charge refused")
	}
	c.count("charge " + string(outcome))
	switch {
	case outcome == yuccahinge.NotRun:
		c.recordNotRun(key, "charge "+string(r.answer.Reason))
	case outcome == yuccahinge.Ran && c.runs[key] == 0:
		c.w.fail(TrueOutcome, []string{key}, "%s is reported as ran, but it never ran", key)
	}
}

// checkAdopted checks a state that a host puts in force against those before it.
func (c *checker) checkAdopted(h *host, s *yuccahinge.State) {
	for _, p := range h.adopted {
		if p.number > s.Ticket {
			c.w.fail(MonotonicTicket, []string{string(h.id)}, "%s goes from ticket %d to %d", h.id, p.number, s.Ticket)
		}
	}
	if c.digests[h] == nil {
		c.digests[h] = make(map[yuccahinge.TicketNumber]yuccahinge.Digest)
	}
	if d, ok := c.digests[h][s.Ticket]; ok && d != s.Digest {
		c.w.fail(MonotonicTicket, []string{string(h.id)}, "%s changes the state of ticket %d", h.id, s.Ticket)
	}
	c.digests[h][s.Ticket] = s.Digest
	c.count("ticket in force")
}

// recordDraining records when a host first knows that an incarnation of a searcher is draining.
func (c *checker) recordDraining(h *host, incarnation yuccahinge.Incarnation) {
	if c.drainingSince[incarnation] == nil {
		c.drainingSince[incarnation] = make(map[*host]yuccahinge.Millis)
	}
	if _, ok := c.drainingSince[incarnation][h]; !ok {
		c.drainingSince[incarnation][h] = c.w.now()
	}
}

// checkSend checks the decision of a host to send an attempt to a searcher.
func (c *checker) checkSend(a *attempt) {
	s, h := a.searcher, a.host
	if !s.isDraining {
		return
	}
	incarnation := s.incarnation()
	keys := []string{a.key(), string(s.id)}
	if _, ok := c.drainingSince[incarnation][h]; ok {
		c.w.fail(AvoidLeaving, keys, "%s knows that %s is leaving and sends it an attempt", h.id, incarnation)
	}
	for _, slot := range c.w.slots {
		g := slot.host
		at, ok := c.drainingSince[incarnation][g]
		if ok && g != h && c.w.now()-at > drainingSpreadMs && c.w.connectedFor(g, h, drainingSpreadMs) {
			c.w.fail(LeavingPropagated, keys, "%s has known for %.0f ms that %s is leaving, and %s, connected to it, sends an attempt to that searcher", g.id, float64(c.w.now()-at), incarnation, h.id)
		}
	}
}

func (c *checker) recordAccepted(h *host, work, kind string) {
	if c.inFlight[h] == nil {
		c.inFlight[h] = make(map[string]string)
	}
	c.inFlight[h][work] = kind
}

func (c *checker) recordReleased(h *host, work string) { delete(c.inFlight[h], work) }

// checkExit checks that a host that exits gracefully has nothing in flight, unless its drain deadline has passed.
func (c *checker) checkExit(h *host) {
	if h.drain.Cut() > 0 {
		c.count("drain limit passed")
		return
	}
	for _, work := range slices.Sorted(maps.Keys(c.inFlight[h])) {
		c.w.fail(DrainWhole, []string{work, string(h.id)}, "%s exits and cuts off the %s %s", h.id, c.inFlight[h][work], work)
	}
	c.count("host left")
}

// forgetHost drops the records of a host that has ended.
func (c *checker) forgetHost(h *host) {
	delete(c.inFlight, h)
	delete(c.digests, h)
}

// monitor checks the invariants between hosts: a ticket that is in force at a host, or that the host can read, is in
// force at every host connected to it.
func (w *World) monitor() {
	w.monitorDraining()
	now := w.now()
	readable := w.platform.newestAt(now - ticketSpreadMs)
	for i, s := range w.slots {
		a := s.host
		if !a.isAlive {
			continue
		}
		due := a.numberAt(now - ticketSpreadMs)
		if w.links.platform[i].hasHeldFor(now, ticketSpreadMs) {
			due = max(due, readable)
		}
		for _, t := range w.slots {
			b := t.host
			if !b.isAlive || b != a && !w.connectedFor(a, b, ticketSpreadMs) || b == a && !w.links.pairs[i][i].hasHeldFor(now, ticketSpreadMs) {
				continue
			}
			if b.node.Number() < due {
				w.fail(TicketPropagated, []string{string(a.id), string(b.id)}, "ticket %d has been readable or in force at %s for 8 s, but %s, connected to it, has ticket %d", due, a.id, b.id, b.node.Number())
			}
		}
	}
}

// monitorDraining checks that each host connected to one that knows of a draining searcher knows of it too.
func (w *World) monitorDraining() {
	for _, id := range w.allSearchers() {
		s := w.searchers[id]
		if !s.isAlive || !s.isDraining {
			continue
		}
		for _, slot := range w.slots {
			w.monitorPeers(s, slot.host)
		}
	}
}

func (w *World) monitorPeers(s *searcher, g *host) {
	incarnation := s.incarnation()
	at, ok := w.check.drainingSince[incarnation][g]
	if !ok || !g.isAlive || w.now()-at <= drainingSpreadMs {
		return
	}
	for _, slot := range w.slots {
		h := slot.host
		if h.isAlive && w.connectedFor(g, h, drainingSpreadMs) && !h.drainTracker.IsDraining(s.id) {
			w.fail(LeavingPropagated, []string{string(s.id)}, "%s has known for %.0f ms that %s is leaving, but %s, connected to it, does not know", g.id, float64(w.now()-at), incarnation, h.id)
		}
	}
}

// numberAt returns the ticket number that was in force at an instant, or 0.
func (h *host) numberAt(at yuccahinge.Millis) yuccahinge.TicketNumber {
	for i := len(h.adopted) - 1; i >= 0; i-- {
		if h.adopted[i].at <= at {
			return h.adopted[i].number
		}
	}
	return 0
}
