package ration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// The bound on the requests to a searcher with a maximum rate, summed over all hosts: in any windowMs, tolerance times what
// the rate allows and slack requests more.
const (
	windowMs  = 4 * yuccahinge.Second
	tolerance = 1.5
	slack     = 5
	// contactMs is how long hosts may take to learn a maximum rate.
	contactMs = 4 * yuccahinge.Second
	// minUse is the share of the rate that buckets of one token let through which the searcher must get.
	minUse = 0.95
)

func allowed(rate yuccahinge.RequestRate) float64 {
	return tolerance*float64(rate)*float64(windowMs/yuccahinge.Second) + slack
}

// fleet simulates hosts that call one searcher. Announcements reach the other hosts after gossipMs.
type fleet struct {
	t        *testing.T
	now      yuccahinge.Millis
	rng      *rand.Rand
	hosts    []*simHost
	rate     *yuccahinge.RequestRate // what the searcher names
	gossipMs yuccahinge.Millis
	inFlight []delivery
	arrivals []yuccahinge.Millis
	target   yuccahinge.Searcher
	stamp    int64
	// omitShare is the share of the responses that leave the rate out.
	omitShare float64
}

type simHost struct {
	Host
	limiter *Limiter
	down    bool
	cut     bool // announcements do not reach it
	calls   int
}

// delivery is a notice, or a response if its notice is nil, that reaches a host at an instant.
type delivery struct {
	at, sentAt yuccahinge.Millis
	to         *simHost
	notice     *yuccahinge.Notice
	report     *yuccahinge.LoadReport
}

const responseMs = 10

// newFleet returns n hosts in three failure domains. The searcher is in domain a.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: 1000, rng: rand.New(rand.NewPCG(26, uint64(n))), gossipMs: 300, target: yuccahinge.Searcher{Domain: "a"}}
	for i := range n {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	f.shareHosts()
	f.now += settleMs
	return f
}

func (f *fleet) newHost(i int) *simHost {
	h := &simHost{Host: Host{ID: yuccahinge.HostID(fmt.Sprint("h", i)), Domain: yuccahinge.DomainID("abc"[i%3 : i%3+1])}}
	h.limiter = &Limiter{Self: h.ID, Stamp: func() yuccahinge.Timestamp {
		f.stamp++
		return yuccahinge.Timestamp{Wall: f.stamp}
	}}
	h.limiter.OnChange = func(c Change) {
		if c.Announcement == nil {
			return
		}
		for _, other := range f.hosts {
			if other != h && !h.cut {
				f.inFlight = append(f.inFlight, delivery{at: f.now + f.gossipMs, to: other, notice: c.Announcement})
			}
		}
	}
	return h
}

// shareHosts tells every host which hosts are up.
func (f *fleet) shareHosts() {
	var up []Host
	for _, h := range f.hosts {
		if !h.down {
			up = append(up, h.Host)
		}
	}
	for _, h := range f.hosts {
		h.limiter.SetHosts(f.now, up)
	}
}

// localShare is the share of the calls that hosts of the searcher's failure domain want to send.
const localShare = 0.9

// run lets the hosts try perSecond calls a second on average for the given time, most of them in the searcher's domain.
func (f *fleet) run(span yuccahinge.Millis, perSecond float64) {
	const stepMs = 20
	for end := f.now + span; f.now < end; f.now += stepMs {
		if int(f.now)%int(yuccahinge.Second) < stepMs {
			f.shareHosts()
		}
		f.deliver()
		f.callAll(perSecond * stepMs / 1000)
	}
}

// callAll lets the hosts try the given number of calls on average.
func (f *fleet) callAll(calls float64) {
	local := 0
	for _, h := range f.hosts {
		if h.Domain == f.target.Domain {
			local++
		}
	}
	for _, h := range f.hosts {
		probability := calls * localShare / float64(local)
		if h.Domain != f.target.Domain {
			probability = calls * (1 - localShare) / float64(len(f.hosts)-local)
		}
		for n := f.rng.Float64(); !h.down && n < probability; n++ {
			f.call(h)
		}
	}
}

func (f *fleet) call(h *simHost) {
	if h.limiter.RoomIn(f.now, searcher, &f.target, "svc") > 0 {
		return
	}
	h.limiter.Started(f.now, searcher)
	h.calls++
	f.arrivals = append(f.arrivals, f.now)
	report := &yuccahinge.LoadReport{MaxRate: f.rate}
	if f.omitShare > f.rng.Float64() {
		report.MaxRate = nil
	}
	f.inFlight = append(f.inFlight, delivery{at: f.now + responseMs, sentAt: f.now, to: h, report: report})
}

func (f *fleet) deliver() {
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		switch {
		case d.at > f.now:
			f.inFlight = append(f.inFlight, d)
		case d.to.down || d.notice != nil && d.to.cut:
		case d.notice != nil:
			d.to.limiter.Learn(f.now, d.notice)
		default:
			d.to.limiter.Observe(f.now, d.sentAt, searcher, d.report)
		}
	}
}

// setRate lets the searcher name a rate, or none if it is negative.
func (f *fleet) setRate(rate yuccahinge.RequestRate) {
	f.rate = nil
	if rate >= 0 {
		f.rate = &rate
	}
}

// busiest returns the most arrivals in any window of windowMs from an instant on.
func (f *fleet) busiest(from yuccahinge.Millis) int {
	most, first := 0, 0
	for last, at := range f.arrivals {
		for f.arrivals[first] < from && first < last || at-f.arrivals[first] >= windowMs {
			first++
		}
		if at >= from {
			most = max(most, last-first+1)
		}
	}
	return most
}

// leastReceived returns how many requests the searcher must get in a time in which the hosts want to send demand requests a
// second. A bucket of one token is full, and earns nothing, from the time it is filled to the next request of its host.
func (f *fleet) leastReceived(rate yuccahinge.RequestRate, demand float64, span yuccahinge.Millis) float64 {
	holders := baseHolders + math.Floor(holdersPerRate*float64(rate))
	wanted := demand * localShare * min(1, holders*3/float64(len(f.hosts)))
	perSecond := float64(rate) * wanted / (wanted + float64(rate))
	return minUse*perSecond*float64(span/yuccahinge.Second) - holders
}

// received returns the number of arrivals from one instant to another.
func (f *fleet) received(from, to yuccahinge.Millis) float64 {
	n := 0
	for _, at := range f.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n)
}

func (f *fleet) checkBound(from yuccahinge.Millis, rate yuccahinge.RequestRate, what string) {
	f.t.Helper()
	if n := f.busiest(from); float64(n) > allowed(rate) {
		f.t.Errorf("%s: %d requests in 4 s at a maximum rate of %g, allowed are %.0f", what, n, rate, allowed(rate))
	}
}

// TestSumOverHostsStaysWithinTheRate guards against hosts that together send more than a searcher's maximum rate, for few
// and many hosts, rates under one request a second, and bursts after a quiet time. It also checks that the searcher gets
// most of what it accepts.
func TestSumOverHostsStaysWithinTheRate(t *testing.T) {
	for _, hosts := range []int{1, 2, 8, 60, 200} {
		for _, rate := range []yuccahinge.RequestRate{0, 0.3, 1, 2, 5, 20, 150} {
			t.Run(fmt.Sprint(hosts, " hosts, rate ", rate), func(t *testing.T) {
				f := newFleet(t, hosts)
				const demand = 400
				f.setRate(rate)
				named := f.now
				f.run(64*yuccahinge.Second, demand)
				f.checkBound(named+contactMs, rate, "steady load")
				from := named + contactMs
				if got, want := f.received(from, f.now), f.leastReceived(rate, demand, f.now-from); got < want {
					t.Errorf("the searcher gets %.0f requests in 60 s, want %.0f", got, want)
				}
				f.run(10*yuccahinge.Second, 0)
				burst := f.now
				f.run(2*yuccahinge.Second, 5*demand)
				f.checkBound(burst, rate, "burst")
			})
		}
	}
}

// TestWholeShareReturnsAfterTheEnd guards against hosts that keep to a maximum rate after the searcher has stopped naming
// it, in particular those without a part, which get no response.
func TestWholeShareReturnsAfterTheEnd(t *testing.T) {
	for _, hosts := range []int{8, 200} {
		for _, rate := range []yuccahinge.RequestRate{0, 0.3, 2, 20} {
			f := newFleet(t, hosts)
			f.setRate(rate)
			f.run(10*yuccahinge.Second, 400)
			f.setRate(-1)
			f.run(10*yuccahinge.Second, 400)
			f.arrivals = nil
			from := f.now
			f.run(3*yuccahinge.Second, 400)
			if got, want := f.received(from, f.now), 0.95*3*400; got < want {
				t.Errorf("%d hosts, rate %g: the searcher gets %.0f requests in 3 s, want %.0f", hosts, rate, got, want)
			}
		}
	}
}

// TestRateChangesWhileInForce lowers and raises a rate. The lower one must hold a contact time later.
func TestRateChangesWhileInForce(t *testing.T) {
	for _, hosts := range []int{8, 200} {
		f := newFleet(t, hosts)
		const demand = 400
		f.setRate(40)
		f.run(10*yuccahinge.Second, demand)
		f.setRate(3)
		lowered := f.now
		f.run(10*yuccahinge.Second, demand)
		f.checkBound(lowered+contactMs, 3, fmt.Sprint(hosts, " hosts, lowered"))
		f.arrivals = nil
		f.setRate(40)
		raised := f.now
		f.run(10*yuccahinge.Second, demand)
		f.checkBound(raised, 40, fmt.Sprint(hosts, " hosts, raised"))
		if got, want := f.received(raised+contactMs, f.now), f.leastReceived(40, demand, f.now-raised-contactMs); got < want {
			t.Errorf("%d hosts: the searcher gets %.0f requests after the rate was raised, want %.0f", hosts, got, want)
		}
	}
}

// TestHostsThatRestartJoinAndStopKeepTheRate guards against a sum that grows while the hosts disagree about which hosts there
// are: one after the other restarts without its state, others join, and some stop.
func TestHostsThatRestartJoinAndStopKeepTheRate(t *testing.T) {
	for _, rate := range []yuccahinge.RequestRate{1, 20} {
		f := newFleet(t, 8)
		f.setRate(rate)
		named := f.now
		f.run(6*yuccahinge.Second, 400)
		for i := range 6 {
			switch i % 3 {
			case 0: // a restarted host has a new Limiter, which at first knows only itself
				f.hosts[i].limiter = f.newHost(i).limiter
				f.hosts[i].limiter.SetHosts(f.now, []Host{f.hosts[i].Host})
			case 1:
				f.hosts = append(f.hosts, f.newHost(len(f.hosts)))
			case 2:
				f.hosts[i].down = true
			}
			f.run(3*yuccahinge.Second, 400)
		}
		f.checkBound(named+contactMs, rate, fmt.Sprint("rate ", rate))
	}
}

// TestCutHostsKeepTheirPart cuts half of the hosts off from the others, which then seem to be lost, while both halves reach
// the searcher.
func TestCutHostsKeepTheirPart(t *testing.T) {
	f := newFleet(t, 8)
	f.setRate(20)
	named := f.now
	f.run(6*yuccahinge.Second, 400)
	for end := f.now + keepHostMs - yuccahinge.Second; f.now < end; {
		for half := range 2 {
			var side []Host
			for i := half; i < len(f.hosts); i += 2 {
				f.hosts[i].cut = half == 1
				side = append(side, f.hosts[i].Host)
			}
			for i := half; i < len(f.hosts); i += 2 {
				f.hosts[i].limiter.SetHosts(f.now, side)
			}
		}
		f.runCut(yuccahinge.Second, 400)
	}
	f.checkBound(named+contactMs, 20, "half of the hosts cut off")
}

// runCut is run without an update of the hosts.
func (f *fleet) runCut(span yuccahinge.Millis, perSecond float64) {
	const stepMs = 20
	for end := f.now + span; f.now < end; f.now += stepMs {
		f.deliver()
		f.callAll(perSecond * stepMs / 1000)
	}
}

// TestFrozenHostDoesNotCatchUp guards against a host that sends the calls of a long freeze at once when it wakes up.
func TestFrozenHostDoesNotCatchUp(t *testing.T) {
	f := newFleet(t, 8)
	f.setRate(5)
	f.run(6*yuccahinge.Second, 400)
	f.now += 20 * yuccahinge.Second
	woke := f.now
	f.run(6*yuccahinge.Second, 400)
	f.checkBound(woke, 5, "after a freeze of all hosts")
}

// TestLateNewsIsHeededAtOnce delays the announcements by two seconds. A host that has not heard sees the rate in its first
// response.
func TestLateNewsIsHeededAtOnce(t *testing.T) {
	f := newFleet(t, 200)
	f.gossipMs = 2000
	f.setRate(10)
	named := f.now
	f.run(12*yuccahinge.Second, 400)
	f.checkBound(named+contactMs, 10, "announcements after 2 s")
}

// TestRateBelongsToOneIncarnation guards against a new searcher that is held to the maximum rate of an earlier one.
func TestRateBelongsToOneIncarnation(t *testing.T) {
	f := newFleet(t, 1)
	l := f.hosts[0].limiter
	l.Observe(f.now, f.now, "i-1/100", named(0))
	if l.RoomIn(f.now, "i-1/100", &f.target, "") == 0 {
		t.Error("the searcher with a maximum rate of zero has room at once")
	}
	if wait := l.RoomIn(f.now, "i-1/200", &f.target, ""); wait > 0 {
		t.Errorf("the next incarnation has room in %v ms, want now", wait)
	}
}

// TestUnaskedSearcherIsForgotten checks that a rate which nothing confirms is dropped, and a confirmed one is not.
func TestUnaskedSearcherIsForgotten(t *testing.T) {
	f := newFleet(t, 2)
	l := f.hosts[0].limiter
	l.Observe(f.now, f.now, "asked", named(5))
	l.Observe(f.now, f.now, "unasked", named(5))
	for range 2 * int(forgetMs/yuccahinge.Second) {
		f.now += yuccahinge.Second
		l.Observe(f.now, f.now-responseMs, "asked", named(5))
		l.SetHosts(f.now, []Host{f.hosts[0].Host})
	}
	if l.Limited() != 1 || l.RoomIn(f.now, "unasked", &f.target, "") > 0 {
		t.Errorf("%d searchers are limited, want only the one that is asked", l.Limited())
	}
	if len(l.limits) != 1 {
		t.Errorf("%d entries are left, want 1", len(l.limits))
	}
}

// TestUnsentCallsGiveTheirTokenBack covers attempts that are dropped from the queue of the host.
func TestUnsentCallsGiveTheirTokenBack(t *testing.T) {
	f := newFleet(t, 1)
	l := f.hosts[0].limiter
	l.Unsent(f.now, f.now, searcher)
	l.Observe(f.now, f.now, searcher, named(1))
	l.Unsent(f.now+1, f.now-5, searcher)
	if l.RoomIn(f.now+1, searcher, &f.target, "") == 0 {
		t.Fatal("a call from before the rate was known gave back a token")
	}
	f.now += 60 * yuccahinge.Second
	sent := 0
	for l.RoomIn(f.now, searcher, &f.target, "") == 0 {
		l.Started(f.now, searcher)
		sent++
	}
	l.Unsent(f.now, f.now, searcher)
	if l.RoomIn(f.now, searcher, &f.target, "") > 0 {
		t.Errorf("no room after one of %d calls was not sent", sent)
	}
}

// TestWaitIsTrue checks that there is room when RoomIn says so, and not before.
func TestWaitIsTrue(t *testing.T) {
	for _, rate := range []yuccahinge.RequestRate{0.3, 4, 100} {
		f := newFleet(t, 3)
		l := f.hosts[0].limiter
		l.Observe(f.now, f.now, searcher, named(rate))
		wait := l.RoomIn(f.now, searcher, &f.target, "")
		if wait <= 0 || l.RoomIn(f.now+wait*0.99, searcher, &f.target, "") == 0 || l.RoomIn(f.now+wait, searcher, &f.target, "") > 0.001 {
			t.Errorf("rate %g: the wait of %v ms is not true", rate, wait)
		}
	}
}

// TestEndAnnouncedWhileNamed covers an announced end that reaches a host just after a response that still names the rate:
// the host keeps to it until its own responses decide or the response is old.
func TestEndAnnouncedWhileNamed(t *testing.T) {
	f := newFleet(t, 2)
	l := f.hosts[0].limiter
	l.Observe(f.now, f.now-responseMs, searcher, named(5))
	end := yuccahinge.Notice{Kind: yuccahinge.NoticeMaxRate, Key: string(searcher), Stamp: yuccahinge.Timestamp{Wall: 1 << 40}, TTLMs: 1000}
	l.Learn(f.now+100, &end)
	if l.Limited() != 1 {
		t.Fatal("an announcement ended a rate that a response had just named")
	}
	f.hosts[0].limiter.SetHosts(f.now+yuccahinge.Second+100, []Host{f.hosts[0].Host})
	if l.Limited() != 0 {
		t.Error("the rate is still in force a second after the last response with it")
	}
}

// TestOlderAnnouncementsAreIgnored covers announcements that arrive out of order or repeatedly.
func TestOlderAnnouncementsAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	l := f.hosts[0].limiter
	learn := func(wall int64, rate *yuccahinge.RequestRate) {
		l.Learn(f.now, &yuccahinge.Notice{Kind: yuccahinge.NoticeMaxRate, Key: string(searcher), MaxRate: rate, Stamp: yuccahinge.Timestamp{Wall: wall}, TTLMs: 1000})
	}
	five := yuccahinge.RequestRate(5)
	learn(10, &five)
	learn(9, nil)
	learn(10, nil)
	if l.Limited() != 1 {
		t.Error("an older or repeated announcement ended the rate")
	}
	learn(11, nil)
	learn(10, &five)
	if l.Limited() != 0 {
		t.Error("the rate is in force after the newest announcement has ended it")
	}
}

// TestRateThatSomeResponsesLeaveOut guards against hosts that send what they have each time that a response leaves the rate
// out, and tell all others to do so. Each host gets a few responses a second, half of them without the rate.
func TestRateThatSomeResponsesLeaveOut(t *testing.T) {
	checkOmittedRate(t, 8, 2)
	checkOmittedRate(t, 8, 20)
	checkOmittedRate(t, 200, 20)
}

// TestLowRateThatSomeResponsesLeaveOutAtManyHosts guards against the same where each host gets a response in some seconds.
func TestLowRateThatSomeResponsesLeaveOutAtManyHosts(t *testing.T) { checkOmittedRate(t, 200, 2) }

func checkOmittedRate(t *testing.T, hosts int, rate yuccahinge.RequestRate) {
	t.Helper()
	f := newFleet(t, hosts)
	f.omitShare = 0.5
	f.setRate(rate)
	f.run(40*yuccahinge.Second, 400)
	settled := f.now
	f.run(30*yuccahinge.Second, 400)
	f.checkBound(settled, rate, fmt.Sprint(hosts, " hosts"))
	f.setRate(-1)
	f.run(40*yuccahinge.Second, 400)
	if n := f.limitedHosts(); n > 0 {
		t.Errorf("%d hosts, rate %g: %d hosts still keep to the rate after its end", hosts, rate, n)
	}
}

func (f *fleet) limitedHosts() int {
	n := 0
	for _, h := range f.hosts {
		n += h.limiter.Limited()
	}
	return n
}

// TestMalformedRatesChangeNothing covers rates that can't be decoded: they neither begin a rate nor change or end one.
func TestMalformedRatesChangeNothing(t *testing.T) {
	f := newFleet(t, 1)
	l := f.hosts[0].limiter
	malformed := []*yuccahinge.LoadReport{{MalformedMaxRate: `"x"`}, named(-1)}
	for _, report := range malformed {
		l.Observe(f.now, f.now, searcher, report)
	}
	if l.Limited() != 0 {
		t.Error("a malformed rate limits the searcher")
	}
	l.Observe(f.now, f.now, searcher, named(1))
	wait := l.RoomIn(f.now, searcher, &f.target, "")
	f.now += 5 * yuccahinge.Second
	for _, report := range malformed {
		l.Observe(f.now, f.now, searcher, report)
	}
	if l.Limited() != 1 || wait == 0 {
		t.Error("a malformed rate ended the one in force")
	}
}

// TestLateResponseDoesNotReviveARate guards against an old response that makes a host announce a rate again after another
// host has announced its end: hosts that no longer call the searcher would keep to it for a minute.
func TestLateResponseDoesNotReviveARate(t *testing.T) {
	f := newFleet(t, 2)
	l := f.hosts[0].limiter
	var announcements int
	l.OnChange = func(c Change) {
		if c.Announcement != nil {
			announcements++
		}
	}
	l.Observe(f.now, f.now-responseMs, searcher, named(5))
	end := yuccahinge.Notice{Kind: yuccahinge.NoticeMaxRate, Key: string(searcher), Stamp: yuccahinge.Timestamp{Wall: 1 << 40}, TTLMs: 1000}
	l.Learn(f.now+100, &end)
	l.Observe(f.now+300, f.now+50, searcher, named(5))
	if announcements != 1 {
		t.Errorf("%d announcements, want only the one before the end", announcements)
	}
	l.SetHosts(f.now+yuccahinge.Second+100, []Host{f.hosts[0].Host})
	if l.Limited() != 0 {
		t.Error("the rate is still in force")
	}
}

// TestHostsWithoutAPartLearnOfTheEnd guards against a host that keeps to a maximum rate long after its end because no host
// with a part has a request for the searcher: after the end, only one host has requests, and it has no part.
func TestHostsWithoutAPartLearnOfTheEnd(t *testing.T) {
	f := newFleet(t, 80)
	f.setRate(2)
	f.run(10*yuccahinge.Second, 400)
	f.setRate(-1)
	var without *simHost
	for _, h := range f.hosts {
		if l := h.limiter; l.hosts.part(f.now, h.ID, searcherKind{domain: f.target.Domain}, 2) == (part{}) {
			without = h
		}
	}
	for end := f.now + 10*yuccahinge.Second; f.now < end; f.now += 100 {
		f.shareHosts()
		f.deliver()
		f.call(without)
	}
	if without.limiter.Limited() > 0 {
		t.Error("the host keeps to the rate 10 s after its end")
	}
}
