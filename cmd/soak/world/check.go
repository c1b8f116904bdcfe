package world

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// check knows what really happened and compares it with what hosts do and say.
type check struct {
	w      *World
	counts map[string]int
	// indexes keeps the number of shards of every index version.
	indexes map[yuccahinge.IndexVersion]int
	// runs counts the runs of claims, and shards lists the shards that ran, by request.
	runs   map[string]int
	shards map[string][]yuccahinge.ShardID
	// sworn holds the requests and claims that were said not to have run.
	sworn map[string]string
	// known holds, for each life of a searcher, since when hosts know that it leaves.
	known map[yuccahinge.Incarnation]map[*host]yuccahinge.Millis
	// work holds what each host has accepted and not answered, with its kind.
	work map[*host]map[string]string
	// digests holds the digest of each number that a host had in force.
	digests map[*host]map[yuccahinge.TicketNumber]yuccahinge.Digest
	pins    map[string]pin
}

// pin is what a query has fixed at its start.
type pin struct {
	ticket   yuccahinge.TicketNumber
	holidays []string
}

const (
	// leavingMs is the time in which word of a leaving searcher reaches connected hosts.
	leavingMs = 5 * yuccahinge.Second
	// inForceMs is the time in which a ticket reaches connected hosts.
	inForceMs = 8 * yuccahinge.Second
	monitorMs = 250
)

func (c *check) start(w *World) {
	c.w = w
	c.counts = make(map[string]int)
	c.indexes = make(map[yuccahinge.IndexVersion]int)
	c.runs = make(map[string]int)
	c.shards = make(map[string][]yuccahinge.ShardID)
	c.sworn = make(map[string]string)
	c.known = make(map[yuccahinge.Incarnation]map[*host]yuccahinge.Millis)
	c.work = make(map[*host]map[string]string)
	c.digests = make(map[*host]map[yuccahinge.TicketNumber]yuccahinge.Digest)
	c.pins = make(map[string]pin)
}

func (c *check) count(what string) { c.counts[what]++ }

// ran takes that a searcher starts to run an attempt.
func (c *check) ran(s *searcher, a *attempt) {
	key := a.key()
	s.w.note(string(s.id), key, "runs attempt %d at shard %d", a.id, a.request.Shard)
	if why, ok := c.sworn[key]; ok {
		s.w.fail(NotRunTrue, []string{key}, "%s runs %s, of which notRun was said (%s)", s.id, key, why)
	}
	if a.charge == nil {
		c.shards[key] = append(c.shards[key], a.request.Shard)
		return
	}
	c.runs[key]++
	c.count("charge run")
	if c.runs[key] > 1 {
		s.w.fail(AtMostOnce, []string{key}, "%s runs claim %s for the %d. time", s.id, key, c.runs[key])
	}
}

// swear takes that a host says that something did not run.
func (c *check) swear(key, why string) {
	if c.runs[key] > 0 || len(c.shards[key]) > 0 {
		c.w.fail(NotRunTrue, []string{key}, "notRun is said of %s (%s), which ran", key, why)
	}
	c.sworn[key] = why
}

// pinned takes the state that a query fixes.
func (c *check) pinned(q *query, s *yuccahinge.State) {
	h := q.host
	c.pins[q.id()] = pin{ticket: s.Ticket, holidays: s.Calendars[calendar].Holidays}
	if s.Ticket < q.request.MinTicket {
		c.w.fail(MinTicket, []string{q.id()}, "%s pins ticket %d for a caller who accepts %d at least", h.id, s.Ticket, q.request.MinTicket)
	}
	woke := h.pause
	if h.rest > pauseLimitMs && h.heardAt < woke && h.firstSince(woke, q.arrived)+compareMs > c.w.now() {
		c.w.fail(AfterPause, []string{q.id(), string(h.id)}, "%s pins a state after a pause of %.0f ms before it heard of a peer", h.id, float64(h.rest))
	}
}

// firstSince returns when the first query waited after the host woke.
func (h *host) firstSince(woke, arrived yuccahinge.Millis) yuccahinge.Millis {
	if h.first < woke {
		h.first = max(arrived, woke)
	}
	return h.first
}

// answered takes an answer before it leaves.
func (c *check) answered(q *query, a *yuccahinge.SearchAnswer) {
	key := q.id()
	if a.RequestID != q.request.RequestID {
		c.w.fail(OwnReply, []string{key}, "an answer to %s goes to %s", a.RequestID, key)
	}
	if a.Ticket != c.pins[key].ticket {
		c.w.fail(Snapshot, []string{key}, "%s pinned ticket %d and answers at %d", key, c.pins[key].ticket, a.Ticket)
	}
	if a.Outcome == yuccahinge.NotRun {
		c.swear(key, "search")
	}
	covered := c.covered(q, a)
	c.accounted(key, a, covered)
	if a.Outcome == yuccahinge.Complete && len(a.Coverage.Lacking) > 0 {
		c.w.fail(Coverage, []string{key}, "a complete answer lacks %v", a.Coverage.Lacking)
	}
}

// covered checks the documents of an answer and returns the shards that they came from.
func (c *check) covered(q *query, a *yuccahinge.SearchAnswer) []yuccahinge.ShardID {
	key := q.id()
	var out []yuccahinge.ShardID
	for _, hit := range a.Hits {
		var o origin
		if err := json.Unmarshal(hit.Doc, &o); err != nil {
			c.w.fail(Parts, []string{key}, "%v", err)
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

// accounted checks that covered and lacking shards are the shard map of the version.
func (c *check) accounted(key string, a *yuccahinge.SearchAnswer, found []yuccahinge.ShardID) {
	said := ranges(a.Coverage.Covered)
	if !slices.Equal(said, found) {
		c.w.fail(Coverage, []string{key}, "%s says that it covers %v and holds documents of %v", key, said, found)
	}
	for _, id := range said {
		if !slices.Contains(c.shards[key], id) {
			c.w.fail(Coverage, []string{key}, "%s says that it covers shard %d, which ran nowhere", key, id)
		}
	}
	for _, l := range a.Coverage.Lacking {
		said = append(said, l.Shard)
	}
	slices.Sort(said)
	n := c.indexes[a.IndexVersion]
	if len(said) != n || a.Coverage.Asked != n || len(slices.Compact(said)) != n || n > 0 && int(said[n-1]) != n-1 {
		c.w.fail(Coverage, []string{key}, "%s accounts for shards %v of %d", key, said, n)
	}
}

// ranges returns the shards in a list of shards and ranges.
func ranges(list []string) []yuccahinge.ShardID {
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

// chargeAnswered takes what a host says of a charge.
func (c *check) chargeAnswered(id yuccahinge.ClaimID, r chargeResult) {
	key := string(id)
	outcome := r.answer.Outcome
	if r.err != nil {
		outcome = outcomeOf(r.err)
		c.count("charge refused")
	}
	c.count("charge " + string(outcome))
	switch {
	case outcome == yuccahinge.NotRun:
		c.swear(key, "charge "+string(r.answer.Reason))
	case outcome == yuccahinge.Ran && c.runs[key] == 0:
		c.w.fail(NotRunTrue, []string{key}, "ran is said of %s, which never ran", key)
	}
}

// adopted takes that a host puts a state in force.
func (c *check) adopted(h *host, s *yuccahinge.State) {
	for _, p := range h.log {
		if p.number > s.Ticket {
			c.w.fail(Forward, []string{string(h.id)}, "%s goes from ticket %d to %d", h.id, p.number, s.Ticket)
		}
	}
	if c.digests[h] == nil {
		c.digests[h] = make(map[yuccahinge.TicketNumber]yuccahinge.Digest)
	}
	if d, ok := c.digests[h][s.Ticket]; ok && d != s.Digest {
		c.w.fail(Forward, []string{string(h.id)}, "%s changes the state of ticket %d", h.id, s.Ticket)
	}
	c.digests[h][s.Ticket] = s.Digest
	c.count("ticket in force")
}

// knows takes that a host learns that a life of a searcher leaves.
func (c *check) knows(h *host, life yuccahinge.Incarnation) {
	if c.known[life] == nil {
		c.known[life] = make(map[*host]yuccahinge.Millis)
	}
	if _, ok := c.known[life][h]; !ok {
		c.known[life][h] = c.w.now()
	}
}

// decided takes that a host decides to send an attempt.
func (c *check) decided(a *attempt) {
	s, h := a.searcher, a.host
	if !s.leaving {
		return
	}
	life := s.incarnation()
	keys := []string{a.key(), string(s.id)}
	if _, ok := c.known[life][h]; ok {
		c.w.fail(LeavingKnown, keys, "%s knows that %s leaves and sends it an attempt", h.id, life)
	}
	for _, slot := range c.w.slots {
		g := slot.host
		at, ok := c.known[life][g]
		if ok && g != h && c.w.now()-at > leavingMs && c.w.linked(g, h, leavingMs) {
			c.w.fail(LeavingHeard, keys, "%s has known for %.0f ms that %s leaves, and %s, connected to it, sends it an attempt", g.id, float64(c.w.now()-at), life, h.id)
		}
	}
}

func (c *check) accepted(h *host, work, kind string) {
	if c.work[h] == nil {
		c.work[h] = make(map[string]string)
	}
	c.work[h][work] = kind
}

func (c *check) released(h *host, work string) { delete(c.work[h], work) }

// left takes that a host exits gracefully.
func (c *check) left(h *host) {
	if h.drain.Cut() > 0 {
		c.count("drain limit passed")
		return
	}
	for _, work := range slices.Sorted(maps.Keys(c.work[h])) {
		c.w.fail(DrainWhole, []string{work, string(h.id)}, "%s exits and cuts off the %s %s", h.id, c.work[h][work], work)
	}
	c.count("host left")
}

// ended forgets what a dead host had accepted.
func (c *check) ended(h *host) {
	delete(c.work, h)
	delete(c.digests, h)
}

// monitor checks what must hold between hosts: tickets are in force on all hosts that are connected to one where they are in force
// or readable.
func (w *World) monitor() {
	w.monitorLeaving()
	now := w.now()
	readable := w.platform.newestAt(now - inForceMs)
	for i, s := range w.slots {
		a := s.host
		if !a.alive {
			continue
		}
		due := a.numberAt(now - inForceMs)
		if w.links.platform[i].lasted(now, inForceMs) {
			due = max(due, readable)
		}
		for _, t := range w.slots {
			b := t.host
			if !b.alive || b != a && !w.linked(a, b, inForceMs) || b == a && !w.links.pairs[i][i].lasted(now, inForceMs) {
				continue
			}
			if b.spread.Number() < due {
				w.fail(InForce, []string{string(a.id), string(b.id)}, "ticket %d has been readable or in force at %s for 8 s, and %s, connected to it, has %d", due, a.id, b.id, b.spread.Number())
			}
		}
	}
}

// monitorLeaving checks that hosts connected to one that knows of a leaving searcher know of it too.
func (w *World) monitorLeaving() {
	for _, id := range w.allSearchers() {
		s := w.searchers[id]
		if !s.alive || !s.leaving {
			continue
		}
		for _, slot := range w.slots {
			w.monitorHeard(s, slot.host)
		}
	}
}

func (w *World) monitorHeard(s *searcher, g *host) {
	life := s.incarnation()
	at, ok := w.check.known[life][g]
	if !ok || !g.alive || w.now()-at <= leavingMs {
		return
	}
	for _, slot := range w.slots {
		h := slot.host
		if h.alive && w.linked(g, h, leavingMs) && !h.leave.Leaving(s.id) {
			w.fail(LeavingHeard, []string{string(s.id)}, "%s has known for %.0f ms that %s leaves, and %s, connected to it, does not", g.id, float64(w.now()-at), life, h.id)
		}
	}
}

// numberAt returns the number that was in force at an instant.
func (h *host) numberAt(at yuccahinge.Millis) yuccahinge.TicketNumber {
	for i := len(h.log) - 1; i >= 0; i-- {
		if h.log[i].at <= at {
			return h.log[i].number
		}
	}
	return 0
}
