package world

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/budget"
	"github.com/yuccahinge/yuccahinge/claim"
	"github.com/yuccahinge/yuccahinge/depart"
	"github.com/yuccahinge/yuccahinge/drain"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/limit"
	"github.com/yuccahinge/yuccahinge/notice"
	"github.com/yuccahinge/yuccahinge/picker"
	"github.com/yuccahinge/yuccahinge/poison"
	"github.com/yuccahinge/yuccahinge/ration"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
	"github.com/yuccahinge/yuccahinge/swap"
)

// slot is the machine of an entry host. Each restart replaces its host.
type slot struct {
	index      int
	domain     yuccahinge.DomainID
	id         yuccahinge.HostID
	generation int
	host       *host
	// isListed reports whether the load balancer sends requests to the host. It lags behind the host's readiness.
	isListed bool
}

// host is one process of an entry host: its decision packages and the state that the production code keeps around them.
type host struct {
	w           *World
	slot        *slot
	id          yuccahinge.HostID
	domain      yuccahinge.DomainID
	isAlive     bool
	pausedUntil yuccahinge.Millis // end of the current or last pause of the process, in which none of its events run
	pauseMs     yuccahinge.Millis // length of the current or last pause of the process

	roster       roster.Roster
	node         spread.Node
	balancer     *picker.Balancer
	versions     swap.Versions
	drainTracker *depart.Tracker
	notices      notice.Store
	rates        ration.Limiter
	stamps       hybrid.Clock
	limiter      limit.Limiter
	quarantine   poison.Quarantine
	hedger       hedge.Policy
	retryBudget  budget.Budget
	hedgeBudget  budget.Budget
	claims       claim.Table
	drain        drain.Drain

	lastTick         yuccahinge.Millis
	nextExchange     yuccahinge.Millis
	nextList         yuccahinge.Millis
	nextPoll         yuccahinge.Millis
	nextUrgent       yuccahinge.Millis
	rowsComparedAt   yuccahinge.Millis
	noticesFetchedAt yuccahinge.Millis
	isReadingHead    bool
	isBooted         bool
	repliedCallAt    yuccahinge.Millis // when the most recent call that a peer replied to was sent
	firstQueryAt     yuccahinge.Millis // when the first query after the last pause of the process began to wait
	waitingQueries   []*query
	needsCompare     bool
	pauseDetectedAt  yuccahinge.Millis
	inFlight         int
	noticesPushedAt  yuccahinge.Millis
	attempts         []*attempt        // in flight, or ended since the last tick
	chargeStartedAt  yuccahinge.Millis // when this host last started a charge
	runs             map[yuccahinge.ClaimID]*chargeRun
	lastSerial       int
	adopted          []publication // the ticket numbers put in force, oldest first
}

const (
	hostCount = 7
	// pausePerStep is the probability that a host's process is paused before one of its steps.
	pausePerStep       = 1.0 / 5000
	tickIntervalMs     = 200
	exchangeIntervalMs = 1000
	listIntervalMs     = 5000
	// pauseLimitMs is the gap between ticks above which a host concludes that its process was paused.
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
	w.recordMembers()
	w.every(1000, w.recordMembers)
	w.every(500, w.updateListedHosts)
}

// boot starts a new process in a slot, sometimes under a new host id.
func (w *World) boot(s *slot) {
	s.generation++
	if s.id == "" || w.chance(0.3) {
		s.id = yuccahinge.HostID(fmt.Sprintf("e%d-%d", s.index, s.generation))
	}
	h := &host{w: w, slot: s, id: s.id, domain: s.domain, isAlive: true}
	w.domains[h.id] = h.domain
	s.host = h
	self := yuccahinge.Member{
		ID:          string(h.id),
		Domain:      h.domain,
		Role:        yuccahinge.RoleEntry,
		Status:      yuccahinge.StatusLive,
		Incarnation: yuccahinge.Incarnation(fmt.Sprintf("i%d", s.generation)),
		PeerAddr:    addr(s.index, s.generation),
	}
	seed := w.rand.Uint64()
	h.roster = roster.Roster{Self: self, Seed: seed}
	h.node = spread.Node{Self: h.id, Domain: h.domain, Seed: seed, IntervalMs: exchangeIntervalMs, BoundMs: w.ticketBound()}
	h.startRates()
	h.balancer = h.newBalancer()
	h.claims = claim.Table{Owner: h.id, Incarnation: self.Incarnation, TTL: 10 * yuccahinge.Second, Retention: 20 * yuccahinge.Second}
	h.claims.Seed[0] = byte(seed)
	h.drain = drain.Drain{Timeout: 20 * yuccahinge.Second}
	h.drainTracker = new(depart.Tracker)
	h.runs = make(map[yuccahinge.ClaimID]*chargeRun)
	w.note(string(h.id), string(h.id), "starts as %s", self.Incarnation)
	w.updateLinks()
	h.start()
}

// ticketBound returns the bound of tickets that the hosts are told: none but with every eighth seed.
func (w *World) ticketBound() yuccahinge.Millis {
	if w.Seed%8 != 0 {
		return 0
	}
	return 5 * yuccahinge.Second
}

func (h *host) newBalancer() *picker.Balancer {
	b := &picker.Balancer{Domain: h.domain, Seed: h.roster.Seed, IsDraining: h.isDraining, HoldsVersion: h.versions.Holds}
	if !h.w.hasBreak(IgnoreMaxRate) {
		b.Limits = &h.rates
	}
	return b
}

func (h *host) endpoint() endpoint { return endpoint{string(h.id), h.domain, true} }

// RunnableFrom implements sched.Owner.
func (h *host) RunnableFrom(yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return h.pausedUntil, h.isAlive
}

// isAwake reports whether the host is alive and not paused.
func (h *host) isAwake(now yuccahinge.Millis) bool { return h.isAlive && now >= h.pausedUntil }

func (h *host) after(d yuccahinge.Millis, f func()) { h.w.queue.At(h.w.now()+d, h, f) }

func (h *host) note(key, format string, args ...any) { h.w.note(string(h.id), key, format, args...) }

// start begins the timers and requests the state and the members.
func (h *host) start() {
	h.tick()
	h.readHead()
	h.contactSeeds()
	h.after(readyDelayMs, func() { h.isBooted = true })
}

// contactSeeds exchanges with the seed hosts, which are the first hosts of each domain.
func (h *host) contactSeeds() {
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

// readyDelayMs is the time that a new host has to receive the newest ticket before it reports itself ready.
const readyDelayMs = 1200

func (h *host) isReady() bool {
	return h.isAlive && h.isBooted && h.node.State() != nil && h.drain.Ready()
}

func (h *host) tick() {
	now := h.w.now()
	h.detectPause(now)
	h.lastTick = now
	h.noteRosterChanges(h.roster.Tick(now))
	h.notices.Expire(now)
	h.updateRateHosts(now)
	h.node.SetMembers(now, h.roster.Members())
	if now >= h.nextList {
		h.nextList = now + listIntervalMs
		h.readList()
	}
	if now >= h.nextExchange {
		h.nextExchange = now + exchangeIntervalMs*yuccahinge.Millis(0.9+0.2*h.w.rand.Float64())
		h.exchangeAll()
	}
	if id := h.node.HostToAsk(now); id != "" {
		h.sendExchange(id, h.node.NewQuestion(now))
	}
	if h.node.ShouldRead(now) {
		h.readHead()
	}
	h.pollSearchers(now)
	h.pruneAttempts()
	if h.stepDrain(now) {
		h.after(tickIntervalMs, func() {
			h.w.uncountStep()
			h.tick()
		})
	}
}

// detectPause checks whether the host was paused. If so, queries wait until it has compared its state with a peer.
func (h *host) detectPause(now yuccahinge.Millis) {
	if h.w.hasBreak(TrustPausedClock) || h.lastTick == 0 || now-h.lastTick <= pauseLimitMs {
		return
	}
	h.note("", "was paused for %.0f ms", float64(now-h.lastTick))
	h.lastTick = now
	h.needsCompare = true
	h.pauseDetectedAt = now
	if len(h.waitingQueries) > 0 {
		h.startCompare()
	}
}

func (w *World) pause(h *host, d yuccahinge.Millis) {
	if !h.isAlive || h.pausedUntil > w.now() {
		return
	}
	h.pausedUntil = w.now() + d
	h.pauseMs = d
	w.check.count("pause")
	h.note(string(h.id), "pauses for %.0f ms", float64(d))
	w.updateLinks()
	w.after(d, w.updateLinks)
}

// kill ends the process of a host immediately, and schedules the next one in its slot.
func (w *World) kill(h *host, why string) {
	if !h.isAlive {
		return
	}
	h.isAlive = false
	h.note(string(h.id), "%s", why)
	w.check.forgetHost(h)
	w.updateLinks()
	w.after(w.uniform(300, 3000), func() { w.boot(h.slot) })
}

// liveHost returns the running host with an id, or nil.
func (w *World) liveHost(id yuccahinge.HostID) *host {
	for _, s := range w.slots {
		if s.host.isAlive && s.host.id == id {
			return s.host
		}
	}
	return nil
}

// updateListedHosts updates the load balancer's list of ready hosts.
func (w *World) updateListedHosts() {
	for _, s := range w.slots {
		s.isListed = s.host.isReady()
	}
}

// noteRosterChanges traces changes of the roster.
func (h *host) noteRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		h.note(c.Member.ID, "believes %s %s", c.Member.ID, c.Member.Status)
		if h.w.hasBreak(ForgetDrain) && c.Member.ID != "" {
			h.forgetDraining()
		}
	}
}

// call calls a peer. The function serve runs on the peer and may answer later; done runs once on this host, with the
// reply or with nil after a timeout or a refused connection.
func (h *host) call(id yuccahinge.HostID, timeout yuccahinge.Millis, serve func(to *host, answer func(any)), done func(any)) {
	ended := false
	end := func(reply any) {
		if ended {
			h.w.uncountStep()
			return
		}
		ended = true
		done(reply)
	}
	h.after(timeout, func() { end(nil) })
	w := h.w
	to := w.liveHost(id)
	if to == nil {
		target := endpoint{string(id), w.domains[id], true}
		if !w.net.isCut(h.endpoint(), target) && !w.net.isCut(target, h.endpoint()) {
			h.after(2*w.delay(h.endpoint(), target), func() { end(nil) })
		}
		return
	}
	w.send(peerPath, h.endpoint(), to.endpoint(), to, func() {
		serve(to, func(reply any) {
			w.send(peerPath, to.endpoint(), h.endpoint(), h, func() { end(reply) })
		})
	})
}
