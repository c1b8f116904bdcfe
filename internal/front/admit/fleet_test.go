package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/internal/call/reject"
	"github.com/yuccahinge/yuccahinge/picker"
	"github.com/yuccahinge/yuccahinge/quota"
	"github.com/yuccahinge/yuccahinge/slack"
)

// fleet simulates entry hosts with the real gather, picker, hedge, quota and admission, which share the searchers of a wide
// index and of several lookup services. Searchers take requests in the order of arrival and know no ranks. A refused
// caller comes back once, after the Retry-After or a third of its remaining time, whichever is shorter, unless givesUp is set.
type fleet struct {
	hosts  int
	strong int // hosts that run all wide requests; zero means that each runs its own
	shards int // of the wide index
	kinds  []kind
	// rate returns the requests a second of all hosts together.
	rate   func(now yuccahinge.Millis) float64
	length yuccahinge.Millis
	// rejects returns the share of requests that a searcher rejects at once, whatever its load; nil rejects none.
	rejects   func(now yuccahinge.Millis, number int) float64
	givesUp   bool // callers don't come back that are told to do so later than in a third of their remaining time
	noNotices bool // hosts don't tell each other of searchers in trouble
	notices   int
	pauses    bool // each searcher pauses for 100 ms every 2.4 s
	// slackAll is the number of extra attempts of all hosts together, for each service, regardless of its requests.
	slackAll float64

	rng       *rand.Rand
	events    events
	all       []*fleetHost
	wide      *yuccahinge.Index
	lookups   []*yuccahinge.Index
	searchers map[yuccahinge.SearcherID]*fleetSearcher
	numbers   int
	ids       int
	tallies   []map[int]*tally // by kind and second of the first arrival
	extra     map[yuccahinge.ServiceName][]yuccahinge.Millis
	firsts    map[yuccahinge.ServiceName][]yuccahinge.Millis
}

// kind is a kind of request.
type kind struct {
	name        string
	priority    int
	objective   yuccahinge.Millis
	deadline    yuccahinge.Millis
	work        float64               // ms at each searcher
	worth, late float64               // of an answer on time and of a late one
	coverage    yuccahinge.ShardShare // share of the shards that an answer needs; zero for a lookup
	share       float64               // of the requests
}

// kindsP and kindsS are the kinds of request of the two deployments. Their shares are assumed.
var (
	kindsP = []kind{
		{"urgent wide", 1, 120, 800, 7.5, 2, 0.1, 0.95, 0.3},
		{"quick wide", 2, 40, 400, 2.5, 1, 0.1, 0.85, 0.4},
		{"lookup", 2, 250, 2500, 60, 1, 0.3, 0, 0.3},
	}
	kindsS = []kind{
		{"quick wide", 0, 40, 600, 2.5, 1.7, 0.068, 0.85, 0.4},
		{"wide", 1, 120, 1200, 7.5, 1.8, 0.089, 0.95, 0.3},
		{"lookup", 2, 500, 4000, 60, 0.45, 0.2, 0, 0.3},
	}
)

// tally counts the requests that arrived in one second.
type tally struct {
	arrivals, onTime, late, refused, failed int
	// returned counts the callers that came back, and refusedAgain those of them that were refused.
	returned, refusedAgain int
	oneAttempt             int // lookups that were refused after one attempt
}

func (t *tally) add(o *tally) {
	t.arrivals += o.arrivals
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
	t.returned += o.returned
	t.refusedAgain += o.refusedAgain
	t.oneAttempt += o.oneAttempt
}

func (t *tally) worth(k *kind) float64 { return k.worth*float64(t.onTime) + k.late*float64(t.late) }

type fleetHost struct {
	domain    yuccahinge.DomainID
	admission Controller
	balancer  picker.Balancer
	quota     quota.Quota
	hedge     hedge.Policy
	troubles  reject.Tracker
}

const (
	fleetSlots      = 2
	fleetQueue      = 12
	fleetReplicas   = 3
	lookupServices  = 5
	localOneWayMs   = 0.4
	remoteOneWayMs  = 1.5
	callerOneWayMs  = 1.0
	maxNoticeMs     = 500.0 // longest time that a notice takes to another host
	extraRatio      = 0.2
	extraWindow     = 10 * yuccahinge.Second
	pauseMs         = 100
	pauseIntervalMs = 2400
)

type fleetSearcher struct {
	id      yuccahinge.SearcherID
	domain  yuccahinge.DomainID
	number  int
	busy    int
	waiting []*fleetCall
	phase   yuccahinge.Millis
}

type fleetCall struct {
	run     *fleetRun
	attempt yuccahinge.AttemptID
	shard   yuccahinge.ShardID
	to      *fleetSearcher
	sent    yuccahinge.Millis
}

// fleetRun is one request at the host that runs it.
type fleetRun struct {
	host     *fleetHost
	kind     int
	index    *yuccahinge.Index
	id       yuccahinge.RequestID
	first    yuccahinge.Millis // when the caller sent it first
	arrived  yuccahinge.Millis
	answerBy yuccahinge.Millis
	deadline yuccahinge.Millis
	isRetry  bool
	gather   gather.Gather
	full     bool
	reported bool
	ended    bool
	ticks    int
}

func (f *fleet) after(now yuccahinge.Millis, wait float64, do func(yuccahinge.Millis)) {
	heap.Push(&f.events, simEvent{now + yuccahinge.Millis(wait), do})
}

func (f *fleet) newIndex(name string, n int, hash uint64) *yuccahinge.Index {
	ix := &yuccahinge.Index{Version: 1, ServicesHash: hash, Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i := range n {
		s := yuccahinge.Shard{ID: yuccahinge.ShardID(i), Service: yuccahinge.ServiceName(fmt.Sprintf("%s%d", name, i))}
		for j := range fleetReplicas {
			id := yuccahinge.SearcherID(fmt.Sprintf("%s%d-%d", name, i, j))
			domain := yuccahinge.DomainID(fmt.Sprint("d", (i+j)%3))
			ix.Searchers[id] = &yuccahinge.Searcher{Domain: domain, Slots: fleetSlots}
			s.Searchers = append(s.Searchers, id)
			f.searchers[id] = &fleetSearcher{id: id, domain: domain, number: f.numbers, phase: yuccahinge.Millis(f.rng.Float64() * pauseIntervalMs)}
			f.numbers++
		}
		ix.Shards = append(ix.Shards, s)
	}
	return ix
}

// run simulates until no event is left and returns the fleet.
func (f *fleet) run(seed uint64) *fleet {
	f.rng = rand.New(rand.NewPCG(seed, 1))
	f.searchers = map[yuccahinge.SearcherID]*fleetSearcher{}
	f.extra, f.firsts = map[yuccahinge.ServiceName][]yuccahinge.Millis{}, map[yuccahinge.ServiceName][]yuccahinge.Millis{}
	f.wide = f.newIndex("w", f.shards, 1)
	for i := range lookupServices {
		f.lookups = append(f.lookups, f.newIndex(fmt.Sprint("l", i, "-"), 1, uint64(i+2)))
	}
	for i := range f.hosts {
		h := &fleetHost{domain: yuccahinge.DomainID(fmt.Sprint("d", i%3))}
		h.balancer.Domain = h.domain
		h.balancer.Seed = f.rng.Uint64()
		h.balancer.ErrorCostMs = 60
		h.balancer.Troubles = &h.troubles
		h.quota.Ratio = func() float64 { return extraRatio }
		var d slack.Divider
		strong := f.strong
		if strong == 0 {
			strong = f.hosts
		}
		d.SetMembers(0, f.hosts, strong, i < strong)
		shard, other := f.slackAll*d.Share(2*extraWindow, true), f.slackAll*d.Share(2*extraWindow, false)
		h.quota.Slack = func(name yuccahinge.ServiceName) float64 {
			if name[0] == 'w' {
				return shard
			}
			return other
		}
		h.quota.WindowMs = extraWindow
		f.all = append(f.all, h)
	}
	f.tallies = make([]map[int]*tally, len(f.kinds))
	for i := range f.tallies {
		f.tallies[i] = map[int]*tally{}
	}
	f.after(1, 0, f.arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simEvent)
		e.do(e.at)
	}
	return f
}

// tally returns the counts of a kind in the second of an instant.
func (f *fleet) tally(k int, at yuccahinge.Millis) *tally {
	t := f.tallies[k][second(at)]
	if t == nil {
		t = &tally{}
		f.tallies[k][second(at)] = t
	}
	return t
}

// total adds the counts of a kind, or of all kinds if k is negative, over the seconds from (inclusive) to to (exclusive).
func (f *fleet) total(k, from, to int) *tally {
	sum := &tally{}
	for i := range f.kinds {
		for s := from; s < to; s++ {
			if t := f.tallies[i][s]; t != nil && (k < 0 || k == i) {
				sum.add(t)
			}
		}
	}
	return sum
}

// goodput returns the worth of the requests that arrived in the seconds from (inclusive) to to (exclusive).
func (f *fleet) goodput(from, to int) float64 {
	sum := 0.0
	for i := range f.kinds {
		sum += f.total(i, from, to).worth(&f.kinds[i])
	}
	return sum
}

func (f *fleet) arrive(now yuccahinge.Millis) {
	if now >= f.length {
		return
	}
	f.after(now, f.rng.ExpFloat64()*1000/f.rate(now), f.arrive)
	k, u := 0, f.rng.Float64()
	for k < len(f.kinds)-1 && u >= f.kinds[k].share {
		u -= f.kinds[k].share
		k++
	}
	f.tally(k, now).arrivals++
	f.submit(now, k, now, false)
}

// submit sends a request to a random host.
func (f *fleet) submit(now yuccahinge.Millis, k int, first yuccahinge.Millis, isRetry bool) {
	f.ids++
	kd := &f.kinds[k]
	r := &fleetRun{
		host: f.all[f.rng.IntN(f.hosts)], kind: k, index: f.wide, id: yuccahinge.RequestID(fmt.Sprint("r", f.ids)),
		first: first, arrived: now, answerBy: now + kd.objective - 2*callerOneWayMs, deadline: first + kd.deadline, isRetry: isRetry,
	}
	if kd.coverage > 0 && f.strong > 0 {
		r.host = f.all[f.rng.IntN(f.strong)]
	}
	if kd.coverage == 0 {
		r.index = f.lookups[f.rng.IntN(lookupServices)]
	}
	if isRetry {
		f.tally(k, first).returned++
	}
	if retry, ok := f.admit(now, r); !ok {
		f.refuse(now, r, retry)
		return
	}
	h := r.host
	g := &r.gather
	*g = gather.Gather{
		Request: r.id, Service: yuccahinge.ServiceName(kd.name), Index: r.index, Deadline: r.deadline - 2, Domain: h.domain, MaxAttempts: 2, NoReissue: true,
		Proven: true, MinCoverage: kd.coverage, Picker: &h.balancer, Room: &h.balancer, Hedger: &h.hedge, LatencyRecorder: &h.hedge, Observer: &h.balancer,
		RetryBudget: &h.quota, HedgeBudget: &h.quota, HasRoom: g.HasRoom, InTrouble: h.troubles.InTrouble,
	}
	if kd.coverage > 0 {
		g.HoldLost, g.EnoughCoverage, g.SoftDeadline, g.Estimator = true, kd.coverage, r.answerBy, &h.balancer
	}
	f.apply(now, r, g.Start(now))
}

// admit decides on a request as query.run does, and returns when its caller may come back.
func (f *fleet) admit(now yuccahinge.Millis, r *fleetRun) (yuccahinge.Millis, bool) {
	h, kd := r.host, &f.kinds[r.kind]
	d := h.admission.Admit(now, &yuccahinge.AdmissionRequest{
		Index: r.index.ServicesHash, ID: r.id, Route: yuccahinge.RouteName(kd.name), Priority: kd.priority,
		ObjectiveMs: kd.objective, RemainingMs: r.deadline - now,
	})
	r.full = d.AdmittedShare < 0.9
	if r.full {
		r.gather.HasRoom = func(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
			return h.balancer.HasRoom(now, id, r.index.Searchers[id])
		}
	}
	return d.RetryAfterMs, d.Admitted
}

func (f *fleet) refuse(now yuccahinge.Millis, r *fleetRun, retry yuccahinge.Millis) {
	t := f.tally(r.kind, r.first)
	if r.isRetry {
		t.refused++
		t.refusedAgain++
		return
	}
	wait := min(retry, (r.deadline-now)/3)
	if retry > wait && f.givesUp {
		t.refused++
		return
	}
	f.after(now, float64(wait)+2*callerOneWayMs, func(now yuccahinge.Millis) { f.submit(now, r.kind, r.first, true) })
}

func (f *fleet) apply(now yuccahinge.Millis, r *fleetRun, actions []gather.Action) {
	for _, a := range actions {
		if a.Kind != gather.Send {
			continue // sent attempts over HTTP/1.1 are not canceled
		}
		c := &fleetCall{run: r, attempt: a.Attempt, shard: a.Shard, to: f.searchers[a.Searcher], sent: now}
		name := r.index.Shards[a.Shard].Service
		if a.Cause == gather.First {
			f.firsts[name] = append(f.firsts[name], now)
		} else {
			f.extra[name] = append(f.extra[name], now)
		}
		f.after(now, f.oneWay(r, c.to), func(now yuccahinge.Millis) { f.reach(now, c) })
	}
	if r.gather.Done() {
		f.finish(now, r)
		return
	}
	if at, ok := r.gather.NextTick(); ok {
		r.ticks++
		n := r.ticks
		f.after(now, max(0, float64(at-now)), func(now yuccahinge.Millis) {
			if n == r.ticks {
				f.apply(now, r, r.gather.Tick(now))
				f.report(now, r)
			}
		})
	}
}

func (f *fleet) oneWay(r *fleetRun, s *fleetSearcher) float64 {
	if r.host.domain == s.domain {
		return localOneWayMs
	}
	return remoteOneWayMs
}

// reach handles a call that reaches its searcher.
func (f *fleet) reach(now yuccahinge.Millis, c *fleetCall) {
	s := c.to
	load := yuccahinge.LoadReport{Searcher: s.id, Incarnation: "i", Slots: fleetSlots, Running: s.busy, Queued: len(s.waiting)}
	rejects := f.rejects != nil && f.rng.Float64() < f.rejects(now, s.number)
	switch {
	case rejects, s.busy == fleetSlots && len(s.waiting) == fleetQueue:
		f.reply(now, c, yuccahinge.NotRun, load)
	case s.busy == fleetSlots:
		s.waiting = append(s.waiting, c)
	default:
		f.start(now, c)
	}
}

func (f *fleet) start(now yuccahinge.Millis, c *fleetCall) {
	s := c.to
	s.busy++
	work := f.kinds[c.run.kind].work * (0.6 + 0.4*f.rng.ExpFloat64())
	end := f.resume(s, f.resume(s, now)+yuccahinge.Millis(work))
	f.after(end, 0, func(now yuccahinge.Millis) {
		s.busy--
		queued := len(s.waiting)
		if queued > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			f.start(now, next)
		}
		f.reply(now, c, yuccahinge.Ran, yuccahinge.LoadReport{Searcher: s.id, Incarnation: "i", Slots: fleetSlots, Running: s.busy, Queued: len(s.waiting)})
	})
}

// resume returns the end of the pause in which an instant falls, or the instant itself.
func (f *fleet) resume(s *fleetSearcher, at yuccahinge.Millis) yuccahinge.Millis {
	if !f.pauses {
		return at
	}
	since := float64(at + s.phase)
	since -= pauseIntervalMs * float64(int(since/pauseIntervalMs))
	if since < pauseMs {
		return at + yuccahinge.Millis(pauseMs-since)
	}
	return at
}

func (f *fleet) reply(now yuccahinge.Millis, c *fleetCall, o yuccahinge.Outcome, load yuccahinge.LoadReport) {
	r := c.run
	f.after(now, f.oneWay(r, c.to), func(now yuccahinge.Millis) {
		res := &yuccahinge.ShardResult{Outcome: o, Latency: now - c.sent, Reply: &yuccahinge.ShardReply{
			RequestID: r.id, Attempt: c.attempt, Shard: c.shard, IndexVersion: 1, Outcome: o, Load: load,
		}}
		if o == yuccahinge.NotRun {
			res.Reason = yuccahinge.ReasonRefused
		}
		if r.host.troubles.Observe(now, c.to.id, res) {
			f.announceTrouble(now, r.host, c.to.id)
		}
		f.apply(now, r, r.gather.HandleResult(now, c.attempt, res))
		f.report(now, r)
	})
}

// announceTrouble tells the other hosts that a searcher is in trouble.
func (f *fleet) announceTrouble(now yuccahinge.Millis, from *fleetHost, id yuccahinge.SearcherID) {
	if f.noNotices {
		return
	}
	f.notices++
	for _, h := range f.all {
		if h != from {
			f.after(now, 50+maxNoticeMs*f.rng.Float64(), func(now yuccahinge.Millis) { h.troubles.Mark(now, id, "i", reject.TroubleMs) })
		}
	}
}

// report reports the load that a request met, as query.run does.
func (f *fleet) report(now yuccahinge.Millis, r *fleetRun) {
	if r.reported {
		return
	}
	available := r.answerBy - r.arrived
	load := yuccahinge.RequestLoad{QueuedShare: r.gather.Load().QueuedShare(), TooManyRefused: f.kinds[r.kind].coverage > 0 && r.gather.TooManyRefused(), Priority: f.kinds[r.kind].priority}
	at, ok := r.gather.MinCoverageAt()
	switch {
	case ok:
		load.TimeUsed = float64((at - r.arrived) / available)
	case r.gather.Done() || now >= r.answerBy && r.gather.Load().Ended > 0:
		load.TimeUsed = 1.5
	default:
		return
	}
	r.reported = true
	r.host.admission.RecordLoad(now, r.index.ServicesHash, load)
}

// finish counts the answer to a request.
func (f *fleet) finish(now yuccahinge.Millis, r *fleetRun) {
	if r.ended {
		return
	}
	r.ended = true
	kd, t := &f.kinds[r.kind], f.tally(r.kind, r.first)
	switch {
	case r.gather.Covered() >= kd.coverage.Of(len(r.index.Shards)):
		if now+2*callerOneWayMs <= r.first+kd.objective {
			t.onTime++
		} else {
			t.late++
		}
	case r.gather.NoneRan():
		if kd.coverage == 0 && r.gather.AttemptsSent() == 1 {
			t.oneAttempt++
		}
		retry := yuccahinge.Millis(60)
		switch {
		case r.gather.OnlyRejected():
			retry = 10
		case r.full:
			retry = max(retry, r.deadline-now)
		}
		f.refuse(now, r, retry)
	default:
		t.failed++
	}
}

// checkExtra checks the limit on extra attempts of all hosts together.
func (f *fleet) checkExtra(t *testing.T) {
	t.Helper()
	for name, extra := range f.extra {
		first, low, lowFirst := 0, 0, 0
		for n, at := range extra {
			for extra[low] <= at-extraWindow {
				low++
			}
			for first < len(f.firsts[name]) && f.firsts[name][first] <= at {
				first++
			}
			for lowFirst < first && f.firsts[name][lowFirst] <= at-extraWindow {
				lowFirst++
			}
			if got, limit := float64(n+1-low), extraRatio*float64(first-lowFirst)+f.slackAll; got > limit {
				t.Fatalf("%g extra attempts at %s in the 10 s before %.0f ms, %.1f are allowed", got, name, float64(at), limit)
			}
		}
	}
}
