package world

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"github.com/yuccahinge/yuccahinge/claim"
	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/leave"
	"github.com/yuccahinge/yuccahinge/limit"
	"github.com/yuccahinge/yuccahinge/notice"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/ready"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/route"
	"github.com/yuccahinge/yuccahinge/spread"
)

// slot is where an entry host stands. Its host is replaced again and again.
type slot struct {
	index  int
	domain yuccahinge.DomainID
	id     yuccahinge.HostID
	lives  int
	host   *host
	// listed says whether the balancer sends requests here. It learns late of changes.
	listed bool
}

// host is one life of an entry host: the decision parts and what its shells would keep.
type host struct {
	w      *World
	slot   *slot
	id     yuccahinge.HostID
	domain yuccahinge.DomainID
	alive  bool
	pause  yuccahinge.Millis // the instant at which the present or last pause ends
	rest   yuccahinge.Millis // the length of that pause

	roster roster.Roster
	spread spread.Spread
	route  *route.Route
	ready  ready.Ready
	leave  *leave.Leave
	book   notice.Book
	limit  limit.Limit
	poison poison.Poison
	hedge  hedge.Hedge
	retry  budget.Budget
	hedges budget.Budget
	claims claim.Table
	drain  drain.Drain

	lastTick     yuccahinge.Millis
	nextExchange yuccahinge.Millis
	nextList     yuccahinge.Millis
	nextPoll     yuccahinge.Millis
	nextUrgent   yuccahinge.Millis
	comparedRows yuccahinge.Millis
	caughtUp     yuccahinge.Millis
	isReading    bool
	booted       bool
	heardAt      yuccahinge.Millis // when the last call was sent that a peer replied to
	first        yuccahinge.Millis // when the first query waited after the last pause
	comparing    []*query
	isStale      bool
	staleAt      yuccahinge.Millis
	inFlight     int
	told         yuccahinge.Millis
	attempts     []*attempt        // open or ended lately
	ranAt        yuccahinge.Millis // when the last charge began
	runs         map[yuccahinge.ClaimID]*run
	serial       int
	log          []publication // the numbers put in force
}

const (
	hostCount = 7
	// pausePerStep is the probability that a host pauses before a step.
	pausePerStep = 1.0 / 5000
	tickMs       = 200
	exchangeMs   = 1000
	listMs       = 5000
	// pauseLimitMs is the gap between ticks from which a host knows that it was paused.
	pauseLimitMs = 1000
)

func (w *World) startHosts() {
	for i := range hostCount {
		s := &slot{index: i, domain: domainName(i)}
		w.slots = append(w.slots, s)
		s.host = &host{w: w, slot: s}
	}
	for _, s := range w.slots {
		w.boot(s)
	}
	w.enlist()
	w.every(1000, w.enlist)
	w.every(500, w.balance)
}

// boot starts a new life in a slot, now and then under a new id.
func (w *World) boot(s *slot) {
	s.lives++
	if s.id == "" || w.chance(0.3) {
		s.id = yuccahinge.HostID(fmt.Sprintf("e%d-%d", s.index, s.lives))
	}
	h := &host{w: w, slot: s, id: s.id, domain: s.domain, alive: true}
	w.domains[h.id] = h.domain
	s.host = h
	self := yuccahinge.Member{
		ID:          string(h.id),
		Domain:      h.domain,
		Role:        yuccahinge.RoleEntry,
		Status:      yuccahinge.StatusLive,
		Incarnation: yuccahinge.Incarnation(fmt.Sprintf("i%d", s.lives)),
		PeerAddr:    addr(s.index, s.lives),
	}
	seed := w.rand.Uint64()
	h.roster = roster.Roster{Self: self, Seed: seed}
	h.spread = spread.Spread{Self: h.id, Domain: h.domain, Seed: seed, PeriodMs: exchangeMs}
	h.route = h.newRoute()
	h.claims = claim.Table{Owner: h.id, Incarnation: self.Incarnation, Life: 10 * yuccahinge.Second, Keep: 20 * yuccahinge.Second}
	h.claims.Seed[0] = byte(seed)
	h.drain = drain.Drain{Limit: 20 * yuccahinge.Second}
	h.leave = new(leave.Leave)
	h.runs = make(map[yuccahinge.ClaimID]*run)
	w.note(string(h.id), string(h.id), "starts as %s", self.Incarnation)
	w.relink()
	h.start()
}

func (h *host) newRoute() *route.Route {
	return &route.Route{Domain: h.domain, Seed: h.roster.Seed, Draining: h.isLeaving, Holds: h.ready.Holds}
}

func (h *host) place() place { return place{string(h.id), h.domain, true} }

// Runs implements sched.Owner.
func (h *host) Runs(yuccahinge.Millis) (yuccahinge.Millis, bool) { return h.pause, h.alive }

// isAwake reports whether the host is alive and awake.
func (h *host) isAwake(now yuccahinge.Millis) bool { return h.alive && now >= h.pause }

func (h *host) after(d yuccahinge.Millis, f func()) { h.w.queue.At(h.w.now()+d, h, f) }

func (h *host) note(key, format string, args ...any) { h.w.note(string(h.id), key, format, args...) }

// start asks for the state and the members.
func (h *host) start() {
	h.tick()
	h.readHead()
	h.callSeeds()
	h.after(bootMs, func() { h.booted = true })
}

// callSeeds asks whoever answers at the addresses that the settings name, two in each domain.
func (h *host) callSeeds() {
	found := make(map[yuccahinge.DomainID]int)
	for _, s := range h.w.slots {
		if s != h.slot && found[s.domain] < seedsPerDomain {
			found[s.domain]++
			h.compareRows(s.id, true)
			h.exchange(s.id)
		}
	}
}

const seedsPerDomain = 2

// bootMs is the time in which a new host hears of the newest ticket before it is ready.
const bootMs = 1200

func (h *host) isReady() bool {
	return h.alive && h.booted && h.spread.State() != nil && h.drain.Ready()
}

func (h *host) tick() {
	now := h.w.now()
	h.noticePause(now)
	h.lastTick = now
	h.changed(h.roster.Tick(now))
	h.book.Tick(now)
	h.spread.Tick(now, h.roster.Members())
	if now >= h.nextList {
		h.nextList = now + listMs
		h.readList()
	}
	if now >= h.nextExchange {
		h.nextExchange = now + exchangeMs*yuccahinge.Millis(0.9+0.2*h.w.rand.Float64())
		h.exchangeAll()
	}
	if h.spread.Reads(now) {
		h.readHead()
	}
	h.pollSearchers(now)
	h.forgetAttempts()
	if h.stepDrain(now) {
		h.after(tickMs, func() {
			h.w.idle()
			h.tick()
		})
	}
}

// noticePause finds out that the host was paused.
func (h *host) noticePause(now yuccahinge.Millis) {
	if h.w.is(TrustPausedClock) || h.lastTick == 0 || now-h.lastTick <= pauseLimitMs {
		return
	}
	h.note("", "was paused for %.0f ms", float64(now-h.lastTick))
	h.lastTick = now
	h.isStale = true
	h.staleAt = now
	if len(h.comparing) > 0 {
		h.askPeers()
	}
}

func (w *World) pause(h *host, d yuccahinge.Millis) {
	if !h.alive || h.pause > w.now() {
		return
	}
	h.pause = w.now() + d
	h.rest = d
	w.check.count("pause")
	h.note(string(h.id), "pauses for %.0f ms", float64(d))
	w.relink()
	w.after(d, w.relink)
}

// kill ends a life at once.
func (w *World) kill(h *host, why string) {
	if !h.alive {
		return
	}
	h.alive = false
	h.note(string(h.id), "%s", why)
	w.check.ended(h)
	w.relink()
	w.after(w.span(300, 3000), func() { w.boot(h.slot) })
}

// live returns the life that answers under an id now, or nil.
func (w *World) live(id yuccahinge.HostID) *host {
	for _, s := range w.slots {
		if s.host.alive && s.host.id == id {
			return s.host
		}
	}
	return nil
}

// balance lets the balancer learn which hosts are ready.
func (w *World) balance() {
	for _, s := range w.slots {
		s.listed = s.host.isReady()
	}
}

// changed notes what the roster learned.
func (h *host) changed(changes []roster.Change) {
	for _, c := range changes {
		h.note(c.Member.ID, "believes %s %s", c.Member.ID, c.Member.Status)
		if h.w.is(ForgetDrain) && c.Member.ID != "" {
			h.forgetLeaving()
		}
	}
}

// call calls a peer. Serve runs there and may answer later; done runs here, once.
func (h *host) call(id yuccahinge.HostID, timeout yuccahinge.Millis, serve func(to *host, answer func(any)), done func(any)) {
	ended := false
	end := func(reply any) {
		if ended {
			h.w.idle()
			return
		}
		ended = true
		done(reply)
	}
	h.after(timeout, func() { end(nil) })
	w := h.w
	to := w.live(id)
	if to == nil {
		there := place{string(id), w.domains[id], true}
		if !w.net.cut(h.place(), there) && !w.net.cut(there, h.place()) {
			h.after(2*w.delay(h.place(), there), func() { end(nil) })
		}
		return
	}
	w.send(peerPath, h.place(), to.place(), to, func() {
		serve(to, func(reply any) {
			w.send(peerPath, to.place(), h.place(), h, func() { end(reply) })
		})
	})
}
