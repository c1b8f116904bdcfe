package world

import (
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ration"
)

const (
	// contactMs is how long hosts may take to learn a maximum rate, and rateWindowMs the time over which calls to a
	// searcher with one are counted.
	contactMs    = 4 * yuccahinge.Second
	rateWindowMs = 4 * yuccahinge.Second
	// A searcher may get rateTolerance times what its maximum rate allows in a rateWindowMs, and rateSlack calls more, from
	// the hosts that received a response with the rate at least toldMs before.
	rateTolerance = 1.5
	rateSlack     = 5
	toldMs        = 500
	// burstSearches is the number of searches that callers send in the burst beside each fault of a maximum rate.
	burstSearches = 120
)

// ratedCalls holds the calls to a searcher that names a maximum rate.
type ratedCalls struct {
	rate  yuccahinge.RequestRate
	since yuccahinge.Millis
	// toldAt is when each host first received a response with the rate.
	toldAt map[*host]yuccahinge.Millis
	calls  []yuccahinge.Millis
}

func (h *host) startRates() {
	h.rates.Self = h.id
	h.rates.Stamp = func() yuccahinge.Timestamp { return h.stamps.Next(h.w.now()) }
	h.rates.OnChange = func(c ration.Change) {
		if c.Announcement != nil {
			h.publishNotice(*c.Announcement)
		}
	}
}

// learnRate processes an announcement of a maximum rate by another host.
func (h *host) learnRate(n *yuccahinge.Notice) {
	h.stamps.Observe(n.Stamp)
	h.rates.Learn(h.w.now(), n)
}

// updateRateHosts sets the hosts that divide the maximum rates.
func (h *host) updateRateHosts(now yuccahinge.Millis) {
	var hosts []ration.Host
	for _, m := range h.roster.Members() {
		hosts = append(hosts, ration.Host{ID: yuccahinge.HostID(m.ID), Domain: m.Domain})
	}
	h.rates.SetHosts(now, hosts)
}

// limitSearcher lets a searcher name a maximum rate for a while, and callers send many searches meanwhile. Another fault of
// the same searcher replaces the rate and its end.
func (w *World) limitSearcher() {
	s := w.randomSearcher()
	s.rated = &ratedCalls{rate: yuccahinge.RequestRate(w.uniform(0, 3)), since: w.now(), toldAt: make(map[*host]yuccahinge.Millis)}
	rated := s.rated
	d := w.uniform(6000, 14000)
	w.check.count("fault maximum rate")
	w.note("world", string(s.id), "%s names a maximum rate of %.2f/s for %.0f ms", s.id, float64(rated.rate), float64(d))
	w.after(d, func() {
		if s.rated == rated {
			s.rated = nil
			w.note("world", string(s.id), "%s names no maximum rate any more", s.id)
		}
	})
	from := w.uniform(3000, 6000)
	for range burstSearches {
		w.after(from+w.uniform(0, 3000), func() { w.sendSearch(0, []byte(`"soup0"`), 1) })
	}
}

// checkRate checks a call that a host sends to a searcher, an attempt or a poll.
func (c *checker) checkRate(h *host, s *searcher) {
	r, now := s.rated, c.w.now()
	if r == nil {
		return
	}
	if told, ok := r.toldAt[h]; !ok || now < told+toldMs || now < r.since+contactMs {
		return
	}
	c.count("call under a maximum rate")
	r.calls = append(slices.DeleteFunc(r.calls, func(at yuccahinge.Millis) bool { return at <= now-rateWindowMs }), now)
	allowed := rateTolerance*float64(r.rate)*float64(rateWindowMs/yuccahinge.Second) + rateSlack
	if n := len(r.calls); float64(n) > allowed {
		c.w.fail(MaxRate, []string{string(s.id)}, "%s has named a maximum rate of %.2f/s for %.0f ms and gets %d calls in 4 s from hosts that know; allowed are %.1f",
			s.id, float64(r.rate), float64(now-r.since), n, allowed)
	}
}

// recordTold records that a host has received a response from a searcher that names a maximum rate.
func (c *checker) recordTold(h *host, s *searcher, report *yuccahinge.LoadReport) {
	if r := s.rated; r != nil && report.MaxRate != nil && *report.MaxRate == r.rate {
		if _, ok := r.toldAt[h]; !ok {
			r.toldAt[h] = c.w.now()
		}
	}
}
