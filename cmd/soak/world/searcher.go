package world

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// searcher is a fake backend server. It keeps its contract: it reports as notRun only what it has not run.
type searcher struct {
	w       *World
	id      yuccahinge.SearcherID
	service yuccahinge.ServiceName
	domain  yuccahinge.DomainID
	index   int

	isAlive     bool
	generation  int
	frozenUntil yuccahinge.Millis
	// isDraining reports whether this incarnation drains. Polled reports show it from reportsDrainAt on.
	isDraining     bool
	reportsDrainAt yuccahinge.Millis
	// isListedDraining reports whether the membership list shows the drain too.
	isListedDraining bool
	versionReadyAt   map[yuccahinge.IndexVersion]yuccahinge.Millis
	running          map[*job]bool
	// The fields ending in Faults count the active faults of each kind, which may overlap.
	slowFaults      int
	shedFaults      int
	misreportFaults int
	// rated is set while the searcher names a maximum rate.
	rated *ratedCalls
}

// job is a query or charge that a searcher runs.
type job struct {
	attempt *attempt
	serial  int
}

const (
	searchSearchers = 6
	chargeSearchers = 3
	domainCount     = 3
)

func domainName(i int) yuccahinge.DomainID {
	return yuccahinge.DomainID(fmt.Sprintf("d%d", i%domainCount))
}

func (w *World) startSearchers() {
	for i := range searchSearchers + chargeSearchers {
		s := &searcher{w: w, domain: domainName(i), index: i, service: searchService}
		s.id = yuccahinge.SearcherID(fmt.Sprintf("s%d", i))
		if i >= searchSearchers {
			s.service = chargeService
		}
		s.versionReadyAt = make(map[yuccahinge.IndexVersion]yuccahinge.Millis)
		s.start()
		w.searchers[s.id] = s
	}
}

// searchersOf returns the searchers of a service, sorted by id.
func (w *World) searchersOf(service yuccahinge.ServiceName) []yuccahinge.SearcherID {
	var out []yuccahinge.SearcherID
	for id, s := range w.searchers {
		if s.service == service {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// allSearchers returns the searchers of both services, sorted by id within each.
func (w *World) allSearchers() []yuccahinge.SearcherID {
	return append(w.searchersOf(searchService), w.searchersOf(chargeService)...)
}

func (s *searcher) endpoint() endpoint { return endpoint{string(s.id), s.domain, false} }

func (s *searcher) spec() *yuccahinge.Searcher {
	return &yuccahinge.Searcher{Addr: addr(s.index%domainCount, 100+s.index), Domain: s.domain, Slots: 2, Connections: 25, ConnectMs: 6}
}

func (s *searcher) incarnation() yuccahinge.Incarnation {
	return yuccahinge.Incarnation(fmt.Sprintf("%s.%d", s.id, s.generation))
}

// RunnableFrom implements sched.Owner.
func (s *searcher) RunnableFrom(yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return s.frozenUntil, true
}

func (s *searcher) start() {
	s.isAlive = true
	s.generation++
	s.isDraining = false
	s.running = make(map[*job]bool)
}

// load schedules the time from which the searcher holds an index version, and drops an old version.
func (s *searcher) load(v yuccahinge.IndexVersion) {
	at := s.w.now() + s.w.uniform(100, 3000)
	if v == 1 {
		at = 0
	}
	s.versionReadyAt[v] = at
	delete(s.versionReadyAt, v-8)
}

func (s *searcher) holds(v yuccahinge.IndexVersion) bool {
	at, ok := s.versionReadyAt[v]
	return ok && at <= s.w.now()
}

func (s *searcher) loadReport() yuccahinge.LoadReport {
	r := yuccahinge.LoadReport{
		Searcher:    s.id,
		Incarnation: s.incarnation(),
		Slots:       2,
		Running:     len(s.running),
		Draining:    s.isDraining,
	}
	if s.rated != nil {
		r.MaxRate = &s.rated.rate
	}
	for v := range s.versionReadyAt {
		if s.holds(v) {
			r.Versions = append(r.Versions, v)
		}
	}
	slices.Sort(r.Versions)
	if s.misreportFaults > 0 {
		r.Running = s.w.rand.IntN(50)
	}
	return r
}

// polledReport returns the load report for a poll, in which a drain shows with a delay.
func (s *searcher) polledReport() yuccahinge.LoadReport {
	r := s.loadReport()
	r.Draining = s.isDraining && s.w.now() >= s.reportsDrainAt
	return r
}

// receive handles an attempt that was sent to a generation of the searcher.
func (s *searcher) receive(a *attempt, generation int) {
	switch {
	case !s.isAlive || s.generation != generation:
		s.sendResult(a, lostResult())
	case s.isDraining:
		s.refuse(a, yuccahinge.ReasonDraining)
	case s.shedFaults > 0 && s.w.chance(0.5):
		s.refuse(a, yuccahinge.ReasonShed)
	case a.charge == nil && !s.holds(a.request.IndexVersion):
		s.refuse(a, yuccahinge.ReasonVersionUnavailable)
	default:
		s.run(a)
	}
}

func (s *searcher) run(a *attempt) {
	w := s.w
	j := &job{attempt: a}
	s.running[j] = true
	w.check.recordRun(s, a)
	generation := s.generation
	if a.charge == nil && strings.HasPrefix(string(a.request.Query), `"death`) {
		w.queue.At(w.now()+w.uniform(0.5, 3), s, func() { s.crash(generation) })
		return
	}
	w.queue.At(w.now()+s.serviceTime(), s, func() {
		if s.generation != generation || !s.isAlive || !s.running[j] {
			return
		}
		delete(s.running, j)
		s.sendResult(a, s.result(a))
	})
}

func (s *searcher) serviceTime() yuccahinge.Millis {
	w := s.w
	switch {
	case s.service == chargeService:
		return w.uniform(2, 60)
	case w.chance(0.05), s.slowFaults > 0 && w.chance(0.3):
		return w.uniform(50, 1500)
	}
	return w.uniform(1, 6)
}

// crash ends a generation of the searcher immediately. Hosts that wait for a reply receive a lost connection, unless the
// network drops that too.
func (s *searcher) crash(generation int) {
	if s.generation != generation || !s.isAlive {
		return
	}
	w := s.w
	w.note(string(s.id), string(s.id), "crashes with %d running", len(s.running))
	s.isAlive = false
	for _, j := range s.jobs() {
		s.sendResult(j.attempt, lostResult())
	}
	s.running = make(map[*job]bool)
	w.after(w.uniform(300, 3000), s.start)
}

// jobs returns the running jobs, sorted by the serial numbers of their attempts.
func (s *searcher) jobs() []*job {
	var out []*job
	for j := range s.running {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return a.attempt.serial - b.attempt.serial })
	return out
}

// cancel drops the running job of an attempt.
func (s *searcher) cancel(a *attempt) {
	for j := range s.running {
		if j.attempt == a {
			delete(s.running, j)
		}
	}
}

// drain starts a drain: the searcher refuses new attempts, and restarts after the running jobs have had time to finish.
func (s *searcher) drain() {
	if !s.isAlive || s.isDraining {
		return
	}
	w := s.w
	s.isDraining = true
	s.isListedDraining = w.chance(0.3)
	s.reportsDrainAt = w.now() + w.uniform(0, 20000)
	w.check.count("searcher drain")
	w.note(string(s.id), string(s.id), "leaves in life %d", s.generation)
	generation := s.generation
	w.after(w.uniform(7000, 15000), func() { s.crash(generation) })
}

func (s *searcher) refuse(a *attempt, why yuccahinge.Reason) {
	r := yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: why}
	r.Reply = s.reply(a, yuccahinge.NotRun)
	r.Reply.Reason = why
	s.sendResult(a, r)
}

func (s *searcher) result(a *attempt) yuccahinge.ShardResult {
	r := yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Reply: s.reply(a, yuccahinge.Ran)}
	if a.charge == nil {
		r.Reply.Hits = []yuccahinge.Hit{originOf(&a.request).hit()}
	}
	return r
}

func (s *searcher) reply(a *attempt, o yuccahinge.Outcome) *yuccahinge.ShardReply {
	return &yuccahinge.ShardReply{
		RequestID:    a.request.RequestID,
		Attempt:      a.request.Attempt,
		Shard:        a.request.Shard,
		IndexVersion: a.request.IndexVersion,
		Outcome:      o,
		Load:         s.loadReport(),
	}
}

// sendResult sends the result of an attempt to its host.
func (s *searcher) sendResult(a *attempt, r yuccahinge.ShardResult) {
	late := false
	s.w.send(replyPath, s.endpoint(), a.host.endpoint(), a.host, func() {
		a.host.receive(a, r, late)
		late = true
	})
}

func lostResult() yuccahinge.ShardResult {
	return yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonConnectionLost}
}

// origin is the content of a fake document: the request and the configuration with which the searcher found it.
type origin struct {
	Request  yuccahinge.RequestID    `json:"request"`
	Shard    yuccahinge.ShardID      `json:"shard"`
	Version  yuccahinge.IndexVersion `json:"version"`
	Ticket   yuccahinge.TicketNumber `json:"ticket"`
	Holidays []string                `json:"holidays"`
}

func originOf(r *yuccahinge.ShardRequest) *origin {
	o := &origin{Request: r.RequestID, Shard: r.Shard, Version: r.IndexVersion, Ticket: r.Ticket}
	if r.Calendar != nil {
		o.Holidays = r.Calendar.Holidays
	}
	return o
}

func (o *origin) hit() yuccahinge.Hit {
	doc, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	id := fmt.Sprintf("%s-%d-%d", o.Request, o.Version, o.Shard)
	return yuccahinge.Hit{ID: yuccahinge.DocumentID(id), Score: 1, Doc: doc}
}
