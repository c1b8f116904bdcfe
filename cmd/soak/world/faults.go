package world

import (
	"fmt"
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// Faults come close together for a while and then seldom, so that what needs time to go wrong has it too.
	busyFaultMs = 400
	calmFaultMs = 3000
	busyMs      = 8 * yuccahinge.Second
	roundMs     = 21 * yuccahinge.Second
	// leaveTries and leaveRetryMs bound the wait for a busy host that may leave.
	leaveTries   = 100
	leaveRetryMs = 7
	// leastHosts is the number of live hosts that kills leave.
	leastHosts = 4
)

// nextFault lets something fail, now and then several things at once, and plans the next.
func (w *World) nextFault() {
	w.after(w.about(w.faultEvery()), w.nextFault)
	n := 1
	if w.chance(0.1) {
		n = 3
	}
	for range n {
		faults := w.faults()
		faults[w.rand.IntN(len(faults))]()
	}
	w.relink()
}

func (w *World) faultEvery() yuccahinge.Millis {
	if math.Mod(float64(w.now()-epoch), float64(roundMs)) < float64(busyMs) {
		return busyFaultMs
	}
	return calmFaultMs
}

func (w *World) faults() []func() {
	return []func(){
		w.killHost, w.killOwner, w.killOwner, w.killOwner, w.leaveHost, w.leaveHost, w.pauseHost, w.pauseHost,
		w.cutDomains, w.cutHost, w.cutHost, w.cutHosts, w.cutPlatform, w.cutPlatform,
		w.stopPlatform, w.stalePlatform, w.turnPlatform, w.turnPlatform, w.lagList,
		w.stormNetwork,
		w.killSearcher, w.killCharger, w.killCharger, w.freezeCharger, w.freezeCharger, w.drainSearcher, w.drainSearcher, w.drainCharger, w.freezeSearcher, w.slowSearcher, w.slowAll, w.slowAll, w.slowAll, w.shedSearcher, w.lyingSearcher,
	}
}

// during counts a fault up now and down again after a while.
func (w *World) during(name string, low, high yuccahinge.Millis, change func(by int)) {
	w.check.count("fault " + name)
	d := w.span(low, high)
	w.note("world", "", "%s for %.0f ms", name, float64(d))
	change(1)
	w.after(d, func() {
		change(-1)
		w.note("world", "", "%s ends", name)
		w.relink()
	})
}

func (w *World) someHost() *host { return pick(w, w.slots).host }

func (w *World) someSearcher() *searcher {
	ids := w.allSearchers()
	return w.searchers[pick(w, ids)]
}

func (w *World) liveHosts() int {
	n := 0
	for _, s := range w.slots {
		if s.host.alive && s.host.drain.Ready() {
			n++
		}
	}
	return n
}

func (w *World) killHost() {
	if w.liveHosts() > leastHosts {
		w.check.count("kill")
		w.kill(w.someHost(), "is killed")
	}
}

// killOwner ends a host that began a charge lately, if there is one.
func (w *World) killOwner() {
	if w.liveHosts() <= leastHosts {
		return
	}
	for _, s := range w.slots {
		if s.host.alive && w.now()-s.host.ranAt < 1000 {
			w.check.count("kill")
			w.kill(s.host, "is killed after it began a charge")
			return
		}
	}
}

// leaveHost lets a host leave that has requests in flight. It waits a while for one.
func (w *World) leaveHost() { w.leaveBusy(leaveTries) }

func (w *World) leaveBusy(tries int) {
	if w.liveHosts() <= leastHosts || tries == 0 {
		return
	}
	for _, s := range w.slots {
		if h := s.host; h.isReady() && h.isAwake(w.now()) && h.inFlight > 0 {
			w.queue.At(w.now(), h, h.depart)
			return
		}
	}
	w.after(leaveRetryMs, func() {
		w.idle()
		w.leaveBusy(tries - 1)
	})
}

func (w *World) pauseHost() { w.pause(w.someHost(), w.span(100, 8000)) }

func (w *World) cutDomains() {
	a := domainName(w.rand.IntN(domainCount))
	b := domainName(w.rand.IntN(domainCount))
	both := w.chance(0.6)
	w.during("cut "+string(a)+" "+string(b), 300, 8000, func(by int) {
		w.net.cutDomains(a, b, by)
		if both && a != b {
			w.net.cutDomains(b, a, by)
		}
	})
}

// cutHost cuts a host off from all other hosts, one way or both.
func (w *World) cutHost() {
	h := w.someHost()
	out, in := w.chance(0.7), w.chance(0.7)
	w.during("cut "+string(h.id)+fmt.Sprintf(" out %t, in %t", out, in), 300, 8000, func(by int) {
		if out {
			w.net.cutHost(string(h.id), "", by)
		}
		if in {
			w.net.cutHost("", string(h.id), by)
		}
	})
}

// missTicket cuts a host off while a ticket goes round. Before the host is back the platform stops, or shows the
// ticket no more.
func (w *World) missTicket() {
	if !w.platform.fresh() {
		w.after(500, w.missTicket)
		return
	}
	h := w.someHost()
	w.during("cut "+string(h.id)+" off", 800, 1500, func(by int) {
		for i := range domainCount {
			w.net.cutPlaceFrom(string(h.id), domainName(i), by)
		}
		w.net.cutPlaceFrom(string(h.id), platformPlace.domain, by)
	})
	w.after(100, w.newTicket)
	w.after(600, func() {
		if w.chance(0.7) {
			w.failPlatform("platform down", 11500, 13000, w.setPlatformDown)
			return
		}
		w.failPlatform("platform stale", 11500, 13000, func(by int) {
			w.platform.staleHead = w.platform.newest() - 1
			w.platform.stale += by
		})
	})
}

// cutHosts cuts one way between two hosts, or between a host and a searcher.
func (w *World) cutHosts() {
	a := string(w.someHost().id)
	b := string(w.someHost().id)
	if w.chance(0.5) {
		b = string(w.someSearcher().id)
	}
	if w.chance(0.5) {
		a, b = b, a
	}
	w.during("cut "+a+" "+b, 300, 8000, func(by int) { w.net.cutPlaces(a, b, by) })
}

func (w *World) cutPlatform() {
	d := domainName(w.rand.IntN(domainCount))
	w.during("cut "+string(d)+" platform", 1000, 12000, func(by int) {
		w.net.cutDomains(d, platformPlace.domain, by)
		w.net.cutDomains(platformPlace.domain, d, by)
	})
}

func (w *World) stopPlatform() {
	w.failPlatform("platform down", 500, 8000, w.setPlatformDown)
}

// failPlatform lets the platform fail in one way, and only now and then in a second way too.
func (w *World) failPlatform(name string, low, high yuccahinge.Millis, change func(by int)) {
	if w.platform.fresh() || w.chance(0.1) {
		w.during(name, low, high, change)
		w.relink()
	}
}

func (w *World) setPlatformDown(by int) { w.platform.down += by }

func (w *World) stalePlatform() {
	w.failPlatform("platform stale", 500, 8000, func(by int) {
		if w.platform.stale == 0 {
			w.platform.staleHead = w.platform.newest()
		}
		w.platform.stale += by
	})
}

func (w *World) turnPlatform() {
	w.failPlatform("platform goes backwards", 500, 6000, func(by int) { w.platform.backwards += by })
}

func (w *World) lagList() {
	w.platform.listLag = w.span(0, 30000)
}

func (w *World) stormNetwork() {
	w.during("storm", 200, 3000, func(by int) { w.net.storms += by })
}

func (w *World) killSearcher() {
	s := w.someSearcher()
	s.crash(s.life)
}

// killCharger ends a searcher that runs a charge, if there is one.
func (w *World) killCharger() {
	s := w.someCharger()
	s.crash(s.life)
}

func (w *World) freezeCharger() { w.freeze(w.someCharger()) }

// someCharger draws a searcher of charges, a busy one if there is one.
func (w *World) someCharger() *searcher {
	ids := w.searchersOf(chargeService)
	for _, id := range ids {
		if len(w.searchers[id].running) > 0 {
			return w.searchers[id]
		}
	}
	return w.searchers[pick(w, ids)]
}

func (w *World) drainCharger() { w.searchers[pick(w, w.searchersOf(chargeService))].drain() }

func (w *World) drainSearcher() { w.someSearcher().drain() }

func (w *World) freezeSearcher() { w.freeze(w.someSearcher()) }

func (w *World) freeze(s *searcher) {
	s.frozen = w.now() + w.span(100, 5000)
	w.check.count("fault frozen searcher")
	w.note(string(s.id), string(s.id), "freezes until %.0f", float64(s.frozen-epoch))
}

func (w *World) slowSearcher() {
	s := w.someSearcher()
	w.during("slow "+string(s.id), 500, 8000, func(by int) { s.slow += by })
}

// slowAll makes all searchers of searches slow, and a ticket arrives while queries wait for them.
func (w *World) slowAll() {
	w.during("slow searchers", 800, 3000, func(by int) {
		for _, id := range w.searchersOf(searchService) {
			w.searchers[id].slow += by
		}
	})
	w.after(w.span(300, 700), w.newTicket)
}

func (w *World) shedSearcher() {
	s := w.someSearcher()
	w.during("shedding "+string(s.id), 500, 5000, func(by int) { s.shedding += by })
}

func (w *World) lyingSearcher() {
	s := w.someSearcher()
	w.during("lying "+string(s.id), 500, 8000, func(by int) { s.lying += by })
}
