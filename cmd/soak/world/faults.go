package world

import (
	"fmt"
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// Each cycle of cycleMs begins with a burst of frequent faults. In the calm rest of it faults are rare, so that
	// failures that take a while to develop have the time.
	burstFaultMs = 400
	calmFaultMs  = 3000
	burstMs      = 8 * yuccahinge.Second
	cycleMs      = 21 * yuccahinge.Second
	// drainTries and drainRetryMs bound the wait for a host that may drain and has requests in flight.
	drainTries   = 100
	drainRetryMs = 7
	// minLiveHosts is the number of live hosts that kills and drains leave running.
	minLiveHosts = 4
)

// nextFault starts a random fault, sometimes several at once, and schedules the next.
func (w *World) nextFault() {
	w.after(w.exponential(w.faultIntervalMs()), w.nextFault)
	n := 1
	if w.chance(0.1) {
		n = 3
	}
	for range n {
		faults := w.faults()
		faults[w.rand.IntN(len(faults))]()
	}
	w.updateLinks()
}

func (w *World) faultIntervalMs() yuccahinge.Millis {
	if math.Mod(float64(w.now()-epoch), float64(cycleMs)) < float64(burstMs) {
		return burstFaultMs
	}
	return calmFaultMs
}

func (w *World) faults() []func() {
	return []func(){
		w.killHost, w.killOwner, w.killOwner, w.killOwner, w.drainHost, w.drainHost, w.pauseHost, w.pauseHost,
		w.cutDomains, w.cutHost, w.cutHost, w.cutHosts, w.cutPlatform, w.cutPlatform,
		w.stopPlatform, w.stalePlatform, w.rollBackPlatform, w.rollBackPlatform, w.delayMemberList,
		w.degradeNetwork,
		w.killSearcher, w.killChargeSearcher, w.killChargeSearcher, w.freezeChargeSearcher, w.freezeChargeSearcher, w.drainSearcher, w.drainSearcher, w.drainChargeSearcher, w.freezeSearcher, w.slowSearcher, w.slowAllSearchers, w.slowAllSearchers, w.slowAllSearchers, w.shedSearcher, w.misreportLoad, w.limitSearcher, w.limitSearcher,
	}
}

// runFault starts a fault and ends it after a random time. The function change adds delta to the number of
// faults of its kind that are in force, which may overlap.
func (w *World) runFault(name string, low, high yuccahinge.Millis, change func(delta int)) {
	w.check.count("fault " + name)
	d := w.uniform(low, high)
	w.note("world", "", "%s for %.0f ms", name, float64(d))
	change(1)
	w.after(d, func() {
		change(-1)
		w.note("world", "", "%s ends", name)
		w.updateLinks()
	})
}

func (w *World) randomHost() *host { return pick(w, w.slots).host }

func (w *World) randomSearcher() *searcher {
	ids := w.allSearchers()
	return w.searchers[pick(w, ids)]
}

func (w *World) liveHosts() int {
	n := 0
	for _, s := range w.slots {
		if s.host.isAlive && s.host.drain.Ready() {
			n++
		}
	}
	return n
}

func (w *World) killHost() {
	if w.liveHosts() > minLiveHosts {
		w.check.count("kill")
		w.kill(w.randomHost(), "is killed")
	}
}

// killOwner kills a host that has started a charge in the last second, if there is one.
func (w *World) killOwner() {
	if w.liveHosts() <= minLiveHosts {
		return
	}
	for _, s := range w.slots {
		if s.host.isAlive && w.now()-s.host.chargeStartedAt < 1000 {
			w.check.count("kill")
			w.kill(s.host, "is killed after it began a charge")
			return
		}
	}
}

// drainHost drains a host that has requests in flight, and waits for one for up to drainTries retries.
func (w *World) drainHost() { w.drainBusyHost(drainTries) }

func (w *World) drainBusyHost(tries int) {
	if w.liveHosts() <= minLiveHosts || tries == 0 {
		return
	}
	for _, s := range w.slots {
		if h := s.host; h.isReady() && h.isAwake(w.now()) && h.inFlight > 0 {
			w.queue.At(w.now(), h, h.startDrain)
			return
		}
	}
	w.after(drainRetryMs, func() {
		w.uncountStep()
		w.drainBusyHost(tries - 1)
	})
}

func (w *World) pauseHost() { w.pause(w.randomHost(), w.uniform(100, 8000)) }

func (w *World) cutDomains() {
	a := domainName(w.rand.IntN(domainCount))
	b := domainName(w.rand.IntN(domainCount))
	both := w.chance(0.6)
	w.runFault("cut "+string(a)+" "+string(b), 300, 8000, func(delta int) {
		w.net.cutDomains(a, b, delta)
		if both && a != b {
			w.net.cutDomains(b, a, delta)
		}
	})
}

// cutHost cuts a host off from all other hosts, in one direction, in both or in none.
func (w *World) cutHost() {
	h := w.randomHost()
	out, in := w.chance(0.7), w.chance(0.7)
	w.runFault("cut "+string(h.id)+fmt.Sprintf(" out %t, in %t", out, in), 300, 8000, func(delta int) {
		if out {
			w.net.cutHost(string(h.id), "", delta)
		}
		if in {
			w.net.cutHost("", string(h.id), delta)
		}
	})
}

// isolateHostDuringTicket cuts a host off while a ticket is published and spread. Before the host is reachable again the
// platform fails or serves the previous ticket, so that the host can get the ticket from its peers only.
func (w *World) isolateHostDuringTicket() {
	if !w.platform.isFresh() {
		w.after(500, w.isolateHostDuringTicket)
		return
	}
	h := w.randomHost()
	w.runFault("cut "+string(h.id)+" off", 800, 1500, func(delta int) {
		for i := range domainCount {
			w.net.cutEndpointFromDomain(string(h.id), domainName(i), delta)
		}
		w.net.cutEndpointFromDomain(string(h.id), platformEndpoint.domain, delta)
	})
	w.after(100, w.newTicket)
	w.after(600, func() {
		if w.chance(0.7) {
			w.runPlatformFault("platform down", 11500, 13000, w.setPlatformDown)
			return
		}
		w.runPlatformFault("platform stale", 11500, 13000, func(delta int) {
			w.platform.staleHead = w.platform.newest() - 1
			w.platform.staleFaults += delta
		})
	})
}

// cutHosts cuts one direction between two hosts, or between a host and a searcher.
func (w *World) cutHosts() {
	a := string(w.randomHost().id)
	b := string(w.randomHost().id)
	if w.chance(0.5) {
		b = string(w.randomSearcher().id)
	}
	if w.chance(0.5) {
		a, b = b, a
	}
	w.runFault("cut "+a+" "+b, 300, 8000, func(delta int) { w.net.cutEndpoints(a, b, delta) })
}

func (w *World) cutPlatform() {
	d := domainName(w.rand.IntN(domainCount))
	w.runFault("cut "+string(d)+" platform", 1000, 12000, func(delta int) {
		w.net.cutDomains(d, platformEndpoint.domain, delta)
		w.net.cutDomains(platformEndpoint.domain, d, delta)
	})
}

func (w *World) stopPlatform() {
	w.runPlatformFault("platform down", 500, 8000, w.setPlatformDown)
}

// runPlatformFault runs a fault of the platform. While the platform has a fault already, it does so only sometimes.
func (w *World) runPlatformFault(name string, low, high yuccahinge.Millis, change func(delta int)) {
	if w.platform.isFresh() || w.chance(0.1) {
		w.runFault(name, low, high, change)
		w.updateLinks()
	}
}

func (w *World) setPlatformDown(delta int) { w.platform.downFaults += delta }

func (w *World) stalePlatform() {
	w.runPlatformFault("platform stale", 500, 8000, func(delta int) {
		if w.platform.staleFaults == 0 {
			w.platform.staleHead = w.platform.newest()
		}
		w.platform.staleFaults += delta
	})
}

func (w *World) rollBackPlatform() {
	w.runPlatformFault("platform goes backwards", 500, 6000, func(delta int) { w.platform.rollbackFaults += delta })
}

func (w *World) delayMemberList() {
	w.platform.listLag = w.uniform(0, 30000)
}

func (w *World) degradeNetwork() {
	w.runFault("storm", 200, 3000, func(delta int) { w.net.degradations += delta })
}

func (w *World) killSearcher() {
	s := w.randomSearcher()
	s.crash(s.generation)
}

// killChargeSearcher crashes a searcher that runs a charge, or any charge searcher if none does.
func (w *World) killChargeSearcher() {
	s := w.busyChargeSearcher()
	s.crash(s.generation)
}

func (w *World) freezeChargeSearcher() { w.freeze(w.busyChargeSearcher()) }

// busyChargeSearcher returns a charge searcher that runs a charge, or a random one if none does.
func (w *World) busyChargeSearcher() *searcher {
	ids := w.searchersOf(chargeService)
	for _, id := range ids {
		if len(w.searchers[id].running) > 0 {
			return w.searchers[id]
		}
	}
	return w.searchers[pick(w, ids)]
}

func (w *World) drainChargeSearcher() { w.searchers[pick(w, w.searchersOf(chargeService))].drain() }

func (w *World) drainSearcher() { w.randomSearcher().drain() }

func (w *World) freezeSearcher() { w.freeze(w.randomSearcher()) }

func (w *World) freeze(s *searcher) {
	s.frozenUntil = w.now() + w.uniform(100, 5000)
	w.check.count("fault frozen searcher")
	w.note(string(s.id), string(s.id), "freezes until %.0f", float64(s.frozenUntil-epoch))
}

func (w *World) slowSearcher() {
	s := w.randomSearcher()
	w.runFault("slow "+string(s.id), 500, 8000, func(delta int) { s.slowFaults += delta })
}

// slowAllSearchers slows all searchers of the search service, and publishes a ticket while queries wait for them.
func (w *World) slowAllSearchers() {
	w.runFault("slow searchers", 800, 3000, func(delta int) {
		for _, id := range w.searchersOf(searchService) {
			w.searchers[id].slowFaults += delta
		}
	})
	w.after(w.uniform(300, 700), w.newTicket)
}

func (w *World) shedSearcher() {
	s := w.randomSearcher()
	w.runFault("shedding "+string(s.id), 500, 5000, func(delta int) { s.shedFaults += delta })
}

func (w *World) misreportLoad() {
	s := w.randomSearcher()
	w.runFault("lying "+string(s.id), 500, 8000, func(delta int) { s.misreportFaults += delta })
}
