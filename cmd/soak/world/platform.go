package world

import (
	"fmt"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// The services of the run.
const (
	searchService yuccahinge.ServiceName  = "trainer"
	chargeService yuccahinge.ServiceName  = "enrolment"
	calendar      yuccahinge.CalendarName = "ethiopia"
)

// platform is the fake configuration service. Only operators, who are part of the run, write to it.
type platform struct {
	tickets []*yuccahinge.Ticket // by number less one
	states  []*yuccahinge.State
	// rival is a second ticket of the newest number that some replicas show until raceEnds.
	rival      *yuccahinge.Ticket
	rivalState *yuccahinge.State
	raceEnds   yuccahinge.Millis
	version    yuccahinge.IndexVersion
	down       int
	stale      int
	staleHead  yuccahinge.TicketNumber
	backwards  int
	listLag    yuccahinge.Millis
	lists      []memberList
	published  []publication
}

// publication is the instant at which a ticket could first be read.
type publication struct {
	at     yuccahinge.Millis
	number yuccahinge.TicketNumber
}

// memberList is the membership list of an instant.
type memberList struct {
	at      yuccahinge.Millis
	members []yuccahinge.Member
}

// fresh reports whether every read brings the newest ticket.
func (p *platform) fresh() bool { return p.down == 0 && p.stale == 0 && p.backwards == 0 }

func (p *platform) newest() yuccahinge.TicketNumber { return yuccahinge.TicketNumber(len(p.tickets)) }

// newestAt returns the newest ticket number at an instant.
func (p *platform) newestAt(at yuccahinge.Millis) yuccahinge.TicketNumber {
	n := yuccahinge.TicketNumber(0)
	for i := len(p.published) - 1; i >= 0; i-- {
		if p.published[i].at <= at {
			return p.published[i].number
		}
	}
	return n
}

// head returns what a read of the head brings.
func (w *World) head() yuccahinge.TicketNumber {
	p := &w.platform
	head := p.newest()
	if p.stale > 0 {
		head = p.staleHead
	}
	if p.backwards > 0 {
		back := yuccahinge.TicketNumber(w.rand.IntN(4))
		head = max(1, head-min(back, head))
	}
	return head
}

// races reports whether a read of the newest ticket brings the rival.
func (w *World) races(n yuccahinge.TicketNumber) bool {
	p := &w.platform
	return p.rival != nil && p.rival.Number == n && w.now() < p.raceEnds && w.chance(0.5)
}

func (w *World) readTicket(n yuccahinge.TicketNumber) *yuccahinge.Ticket {
	if n == 0 || n > w.head() {
		return nil
	}
	if w.races(n) {
		return w.platform.rival
	}
	return w.platform.tickets[n-1]
}

func (w *World) readState() *yuccahinge.State {
	n := w.head()
	if n == 0 {
		return nil
	}
	if w.races(n) {
		return w.platform.rivalState
	}
	return w.platform.states[n-1]
}

func (w *World) startPlatform() {
	w.platform.version = 1
	w.publish(&yuccahinge.Ticket{
		Number: 1,
		Services: map[yuccahinge.ServiceName]*yuccahinge.Service{
			searchService: w.searchAt(1),
			chargeService: w.chargeAt(1),
		},
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{calendar: holidays(1)},
	})
}

// nextTicket lets an operator publish a ticket, and plans the next.
func (w *World) nextTicket() {
	wait := w.span(1500, 4500)
	if w.chance(0.2) {
		wait = w.span(9000, 15000)
	}
	w.after(wait, w.nextTicket)
	w.newTicket()
}

// newTicket publishes a ticket, now and then beside another operator who took the same number.
func (w *World) newTicket() {
	p := &w.platform
	t := w.draft()
	if w.chance(0.15) {
		p.rival = w.draft()
		p.rivalState = w.folded(p.rival)
		p.raceEnds = w.now() + w.span(300, 2000)
		w.check.count("ticket race")
		w.note("platform", "", "ticket %d has a rival until %.0f", t.Number, float64(p.raceEnds-epoch))
	}
	w.publish(t)
}

// draft returns the next ticket: always a calendar, often a new index.
func (w *World) draft() *yuccahinge.Ticket {
	n := w.platform.newest() + 1
	t := &yuccahinge.Ticket{
		Number:    n,
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{calendar: holidays(int(n))},
	}
	if w.chance(0.7) {
		w.platform.version++
		t.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{searchService: w.searchAt(w.platform.version)}
	}
	return t
}

func (w *World) publish(t *yuccahinge.Ticket) {
	p := &w.platform
	state := w.folded(t)
	p.tickets = append(p.tickets, t)
	p.states = append(p.states, state)
	p.published = append(p.published, publication{at: w.now(), number: t.Number})
	w.note("platform", "", "ticket %d published, index version %d", t.Number, state.Services[searchService].Index.Version)
}

func (w *World) folded(t *yuccahinge.Ticket) *yuccahinge.State {
	var before *yuccahinge.State
	if len(w.platform.states) > 0 {
		before = w.platform.states[len(w.platform.states)-1]
	}
	state, err := ticket.Fold(before, t)
	if err != nil {
		panic(err)
	}
	return state
}

// holidays returns a calendar that no other ticket has.
func holidays(n int) *yuccahinge.Calendar {
	day := time.Date(2000, 1, n, 0, 0, 0, 0, time.UTC)
	return &yuccahinge.Calendar{Holidays: []string{day.Format(time.DateOnly)}}
}

// searchAt returns the search service with a new version of its index, with another number of shards.
func (w *World) searchAt(v yuccahinge.IndexVersion) *yuccahinge.Service {
	const most = 5
	n := most - int(v%3)
	ix := yuccahinge.Index{Version: v, Searchers: make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)}
	ids := w.searchersOf(searchService)
	for _, id := range ids {
		ix.Searchers[id] = w.searchers[id].spec()
	}
	for i := range n {
		s := yuccahinge.Shard{
			ID:   yuccahinge.ShardID(i),
			From: uint32(i * yuccahinge.KeySpace / n),
			To:   uint32((i + 1) * yuccahinge.KeySpace / n),
		}
		for r := range 3 {
			s.Searchers = append(s.Searchers, ids[(i+2*r)%len(ids)])
		}
		ix.Shards = append(ix.Shards, s)
	}
	w.check.indexes[v] = n
	for _, id := range ids {
		w.searchers[id].load(v)
	}
	return &yuccahinge.Service{
		Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, Calendar: calendar,
		DeadlineMs: 400, VersionHoldMs: 4000, Index: ix,
	}
}

func (w *World) chargeAt(v yuccahinge.IndexVersion) *yuccahinge.Service {
	ix := yuccahinge.Index{Version: v, Searchers: make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)}
	s := yuccahinge.Shard{To: yuccahinge.KeySpace}
	for _, id := range w.searchersOf(chargeService) {
		ix.Searchers[id] = w.searchers[id].spec()
		s.Searchers = append(s.Searchers, id)
	}
	ix.Shards = []yuccahinge.Shard{s}
	return &yuccahinge.Service{Kind: yuccahinge.KindCharge, DeadlineMs: 1000, Index: ix}
}

// list returns the membership list as it was a while ago.
func (w *World) list() []yuccahinge.Member {
	var out []yuccahinge.Member
	for _, l := range w.platform.lists {
		if out == nil || l.at <= w.now()-w.platform.listLag {
			out = l.members
		}
	}
	return out
}

// enlist notes the membership of now.
func (w *World) enlist() {
	var members []yuccahinge.Member
	for _, s := range w.slots {
		if s.host.alive {
			m := s.host.roster.Self
			m.Status = yuccahinge.StatusLive
			if !s.host.drain.Ready() {
				m.Status = yuccahinge.StatusLeaving
			}
			members = append(members, m)
		}
	}
	for _, id := range w.allSearchers() {
		if s := w.searchers[id]; s.leaving && s.listed {
			members = append(members, yuccahinge.Member{
				ID: string(id), Domain: s.domain, Role: yuccahinge.RoleSearcher,
				Status: yuccahinge.StatusLeaving, Incarnation: s.incarnation(),
			})
		}
	}
	p := &w.platform
	p.lists = append(p.lists, memberList{at: w.now(), members: members})
	if len(p.lists) > 64 {
		p.lists = p.lists[1:]
	}
}

// ask lets a host call the platform. Done gets nothing when no reply came in time.
func (w *World) ask(h *host, read func() any, done func(any)) {
	ended := false
	end := func(reply any) {
		if ended {
			w.idle()
			return
		}
		ended = true
		done(reply)
	}
	h.after(platformTimeoutMs, func() { end(nil) })
	w.send(platformPath, h.place(), platformPlace, nil, func() {
		if w.platform.down > 0 {
			return
		}
		w.check.count("platform call")
		reply := read()
		w.send(platformPath, platformPlace, h.place(), h, func() { end(reply) })
	})
}

const platformTimeoutMs = 1 * yuccahinge.Second

func addr(domain, host int) string { return fmt.Sprintf("10.%d.0.%d:7000", domain+1, host%250+1) }
