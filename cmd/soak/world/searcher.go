package world

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// searcher is a fake backend server. It keeps to its contract: it says notRun only of what it did not run.
type searcher struct {
	w       *World
	id      yuccahinge.SearcherID
	service yuccahinge.ServiceName
	domain  yuccahinge.DomainID
	index   int

	alive  bool
	life   int
	frozen yuccahinge.Millis
	// leaving says that this life drains. Its health report says so from the instant told on.
	leaving bool
	told    yuccahinge.Millis
	// listed says that the membership list tells of the drain too.
	listed   bool
	versions map[yuccahinge.IndexVersion]yuccahinge.Millis
	running  map[*job]bool
	slow     int
	shedding int
	lying    int
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
		s.versions = make(map[yuccahinge.IndexVersion]yuccahinge.Millis)
		s.start()
		w.searchers[s.id] = s
	}
}

// searchersOf returns the searchers of a service in the order of their ids.
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

// allSearchers returns the searchers of all services.
func (w *World) allSearchers() []yuccahinge.SearcherID {
	return append(w.searchersOf(searchService), w.searchersOf(chargeService)...)
}

func (s *searcher) place() place { return place{string(s.id), s.domain, false} }

func (s *searcher) spec() *yuccahinge.Searcher {
	return &yuccahinge.Searcher{Addr: addr(s.index%domainCount, 100+s.index), Domain: s.domain, Slots: 2, Connections: 25, ConnectMs: 6}
}

func (s *searcher) incarnation() yuccahinge.Incarnation {
	return yuccahinge.Incarnation(fmt.Sprintf("%s.%d", s.id, s.life))
}

// Runs implements sched.Owner.
func (s *searcher) Runs(yuccahinge.Millis) (yuccahinge.Millis, bool) { return s.frozen, true }

func (s *searcher) start() {
	s.alive = true
	s.life++
	s.leaving = false
	s.running = make(map[*job]bool)
}

// load brings an index version to the searcher after a while.
func (s *searcher) load(v yuccahinge.IndexVersion) {
	at := s.w.now() + s.w.span(100, 3000)
	if v == 1 {
		at = 0
	}
	s.versions[v] = at
	delete(s.versions, v-8)
}

func (s *searcher) holds(v yuccahinge.IndexVersion) bool {
	at, ok := s.versions[v]
	return ok && at <= s.w.now()
}

func (s *searcher) report() yuccahinge.LoadReport {
	r := yuccahinge.LoadReport{
		Searcher:    s.id,
		Incarnation: s.incarnation(),
		Slots:       2,
		Running:     len(s.running),
		Draining:    s.leaving,
	}
	for v := range s.versions {
		if s.holds(v) {
			r.Versions = append(r.Versions, v)
		}
	}
	slices.Sort(r.Versions)
	if s.lying > 0 {
		r.Running = s.w.rand.IntN(50)
	}
	return r
}

// health returns the report that a poll brings, which lags.
func (s *searcher) health() yuccahinge.LoadReport {
	r := s.report()
	r.Draining = s.leaving && s.w.now() >= s.told
	return r
}

// receive takes an attempt that was sent to the searcher's life.
func (s *searcher) receive(a *attempt, life int) {
	switch {
	case !s.alive || s.life != life:
		s.answer(a, lostResult())
	case s.leaving:
		s.refuse(a, yuccahinge.ReasonDraining)
	case s.shedding > 0 && s.w.chance(0.5):
		s.refuse(a, yuccahinge.ReasonShed)
	case a.charge == nil && !s.holds(a.request.IndexVersion):
		s.refuse(a, yuccahinge.ReasonVersion)
	default:
		s.run(a)
	}
}

func (s *searcher) run(a *attempt) {
	w := s.w
	j := &job{attempt: a}
	s.running[j] = true
	w.check.ran(s, a)
	life := s.life
	if a.charge == nil && strings.HasPrefix(string(a.request.Query), `"death`) {
		w.queue.At(w.now()+w.span(0.5, 3), s, func() { s.crash(life) })
		return
	}
	w.queue.At(w.now()+s.serviceTime(), s, func() {
		if s.life != life || !s.alive || !s.running[j] {
			return
		}
		delete(s.running, j)
		s.answer(a, s.result(a))
	})
}

func (s *searcher) serviceTime() yuccahinge.Millis {
	w := s.w
	switch {
	case s.service == chargeService:
		return w.span(2, 60)
	case w.chance(0.05), s.slow > 0 && w.chance(0.3):
		return w.span(50, 1500)
	}
	return w.span(1, 6)
}

// crash ends a life at once. Whoever waits for a reply loses the connection, if word of that gets through.
func (s *searcher) crash(life int) {
	if s.life != life || !s.alive {
		return
	}
	w := s.w
	w.note(string(s.id), string(s.id), "crashes with %d running", len(s.running))
	s.alive = false
	for _, j := range s.jobs() {
		s.answer(j.attempt, lostResult())
	}
	s.running = make(map[*job]bool)
	w.after(w.span(300, 3000), s.start)
}

// jobs returns what runs in the order of the attempts.
func (s *searcher) jobs() []*job {
	var out []*job
	for j := range s.running {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return a.attempt.serial - b.attempt.serial })
	return out
}

// cancel gives up a running query.
func (s *searcher) cancel(a *attempt) {
	for j := range s.running {
		if j.attempt == a {
			delete(s.running, j)
		}
	}
}

// drain makes the searcher leave: it refuses what is new, ends what runs and starts anew.
func (s *searcher) drain() {
	if !s.alive || s.leaving {
		return
	}
	w := s.w
	s.leaving = true
	s.listed = w.chance(0.3)
	s.told = w.now() + w.span(0, 20000)
	w.check.count("searcher drain")
	w.note(string(s.id), string(s.id), "leaves in life %d", s.life)
	life := s.life
	w.after(w.span(7000, 15000), func() { s.crash(life) })
}

func (s *searcher) refuse(a *attempt, why yuccahinge.Reason) {
	r := yuccahinge.ShardResult{Outcome: yuccahinge.NotRun, Reason: why}
	r.Reply = s.reply(a, yuccahinge.NotRun)
	r.Reply.Reason = why
	s.answer(a, r)
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
		Load:         s.report(),
	}
}

// answer sends the end of an attempt back to the host.
func (s *searcher) answer(a *attempt, r yuccahinge.ShardResult) {
	late := false
	s.w.send(replyPath, s.place(), a.host.place(), a.host, func() {
		a.host.receive(a, r, late)
		late = true
	})
}

func lostResult() yuccahinge.ShardResult {
	return yuccahinge.ShardResult{Outcome: yuccahinge.Unknown, Reason: yuccahinge.ReasonLost}
}

// origin is what a fake document says of the query that found it.
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
