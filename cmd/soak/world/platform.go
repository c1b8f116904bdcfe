package world

import (
	"fmt"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// The services and the calendar of every run.
const (
	searchService yuccahinge.ServiceName  = "trainer"
	chargeService yuccahinge.ServiceName  = "enrolment"
	calendar      yuccahinge.CalendarName = "ethiopia"
)

// platform is the fake configuration service. Only the simulated operators write to it.
type platform struct {
	tickets []*yuccahinge.Ticket // index is the ticket number minus one
	states  []*yuccahinge.State
	// rival is a conflicting ticket with the newest number, which some platform replicas serve until raceEnds.
	rival      *yuccahinge.Ticket
	rivalState *yuccahinge.State
	raceEnds   yuccahinge.Millis
	version    yuccahinge.IndexVersion
	// downFaults, staleFaults and rollbackFaults count the injected faults of each kind now in force; they may overlap.
	downFaults     int
	staleFaults    int
	staleHead      yuccahinge.TicketNumber
	rollbackFaults int
	listLag        yuccahinge.Millis
	memberLists    []memberList
	publications   []publication
}

// publication records when a ticket was published or put in force.
type publication struct {
	at     yuccahinge.Millis
	number yuccahinge.TicketNumber
}

// memberList is the membership list at an instant.
type memberList struct {
	at      yuccahinge.Millis
	members []yuccahinge.Member
}

// isFresh reports whether the platform has no fault, so that every read returns the newest ticket.
func (p *platform) isFresh() bool {
	return p.downFaults == 0 && p.staleFaults == 0 && p.rollbackFaults == 0
}

func (p *platform) newest() yuccahinge.TicketNumber { return yuccahinge.TicketNumber(len(p.tickets)) }

// newestAt returns the newest ticket number published by an instant, or 0.
func (p *platform) newestAt(at yuccahinge.Millis) yuccahinge.TicketNumber {
	n := yuccahinge.TicketNumber(0)
	for i := len(p.publications) - 1; i >= 0; i-- {
		if p.publications[i].at <= at {
			return p.publications[i].number
		}
	}
	return n
}

// readHead returns the newest ticket number that the platform returns to a host under the faults now in force.
func (w *World) readHead() yuccahinge.TicketNumber {
	p := &w.platform
	head := p.newest()
	if p.staleFaults > 0 {
		head = p.staleHead
	}
	if p.rollbackFaults > 0 {
		back := yuccahinge.TicketNumber(w.rand.IntN(4))
		head = max(1, head-min(back, head))
	}
	return head
}

// readsRival reports, at random during a race, whether a read of ticket n returns the rival.
func (w *World) readsRival(n yuccahinge.TicketNumber) bool {
	p := &w.platform
	return p.rival != nil && p.rival.Number == n && w.now() < p.raceEnds && w.chance(0.5)
}

func (w *World) readTicket(n yuccahinge.TicketNumber) *yuccahinge.Ticket {
	if n == 0 || n > w.readHead() {
		return nil
	}
	if w.readsRival(n) {
		return w.platform.rival
	}
	return w.platform.tickets[n-1]
}

func (w *World) readState() *yuccahinge.State {
	n := w.readHead()
	if n == 0 {
		return nil
	}
	if w.readsRival(n) {
		return w.platform.rivalState
	}
	return w.platform.states[n-1]
}

func (w *World) startPlatform() {
	w.platform.version = 1
	w.publish(&yuccahinge.Ticket{
		Number: 1,
		Services: map[yuccahinge.ServiceName]*yuccahinge.Service{
			searchService: w.newSearchService(1),
			chargeService: w.newChargeService(1),
		},
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{calendar: holidays(1)},
	})
}

// nextTicket publishes a ticket and schedules the next.
func (w *World) nextTicket() {
	wait := w.uniform(1500, 4500)
	if w.chance(0.2) {
		wait = w.uniform(9000, 15000)
	}
	w.after(wait, w.nextTicket)
	w.newTicket()
}

// newTicket publishes a ticket. Sometimes another operator publishes a rival with the same number.
func (w *World) newTicket() {
	p := &w.platform
	t := w.draft()
	if w.chance(0.15) {
		p.rival = w.draft()
		p.rivalState = w.applyTicket(p.rival)
		p.raceEnds = w.now() + w.uniform(300, 2000)
		w.check.count("ticket race")
		w.note("platform", "", "ticket %d has a rival until %.0f", t.Number, float64(p.raceEnds-epoch))
	}
	w.publish(t)
}

// draft returns the next ticket, which always has a new calendar and often a new index.
func (w *World) draft() *yuccahinge.Ticket {
	n := w.platform.newest() + 1
	t := &yuccahinge.Ticket{
		Number:    n,
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{calendar: holidays(int(n))},
	}
	if w.chance(0.7) {
		w.platform.version++
		t.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{searchService: w.newSearchService(w.platform.version)}
	}
	return t
}

func (w *World) publish(t *yuccahinge.Ticket) {
	p := &w.platform
	state := w.applyTicket(t)
	p.tickets = append(p.tickets, t)
	p.states = append(p.states, state)
	p.publications = append(p.publications, publication{at: w.now(), number: t.Number})
	w.note("platform", "", "ticket %d published, index version %d", t.Number, state.Services[searchService].Index.Version)
}

func (w *World) applyTicket(t *yuccahinge.Ticket) *yuccahinge.State {
	var before *yuccahinge.State
	if len(w.platform.states) > 0 {
		before = w.platform.states[len(w.platform.states)-1]
	}
	state, err := ticket.Apply(before, t)
	if err != nil {
		panic(err)
	}
	return state
}

// holidays returns the calendar of ticket n, which differs from that of every other ticket.
func holidays(n int) *yuccahinge.Calendar {
	day := time.Date(2000, 1, n, 0, 0, 0, 0, time.UTC)
	return &yuccahinge.Calendar{Holidays: []string{day.Format(time.DateOnly)}}
}

// newSearchService returns the search service with index version v, whose number of shards depends on v.
func (w *World) newSearchService(v yuccahinge.IndexVersion) *yuccahinge.Service {
	const maxShards = 5
	n := maxShards - int(v%3)
	ix := yuccahinge.Index{Version: v, Searchers: make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)}
	ids := w.searchersOf(searchService)
	for _, id := range ids {
		ix.Searchers[id] = w.searchers[id].spec()
	}
	for i := range n {
		s := yuccahinge.Shard{
			ID:   yuccahinge.ShardID(i),
			From: uint32(i * yuccahinge.HashSlots / n),
			To:   uint32((i + 1) * yuccahinge.HashSlots / n),
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

func (w *World) newChargeService(v yuccahinge.IndexVersion) *yuccahinge.Service {
	ix := yuccahinge.Index{Version: v, Searchers: make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)}
	s := yuccahinge.Shard{To: yuccahinge.HashSlots}
	for _, id := range w.searchersOf(chargeService) {
		ix.Searchers[id] = w.searchers[id].spec()
		s.Searchers = append(s.Searchers, id)
	}
	ix.Shards = []yuccahinge.Shard{s}
	return &yuccahinge.Service{Kind: yuccahinge.KindCharge, DeadlineMs: 1000, Index: ix}
}

// listMembers returns the membership list of listLag ago, or the oldest one kept.
func (w *World) listMembers() []yuccahinge.Member {
	var out []yuccahinge.Member
	for _, l := range w.platform.memberLists {
		if out == nil || l.at <= w.now()-w.platform.listLag {
			out = l.members
		}
	}
	return out
}

// recordMembers appends the current membership to the lists.
func (w *World) recordMembers() {
	var members []yuccahinge.Member
	for _, s := range w.slots {
		if s.host.isAlive {
			m := s.host.roster.Self
			m.Status = yuccahinge.StatusLive
			if !s.host.drain.Ready() {
				m.Status = yuccahinge.StatusLeaving
			}
			members = append(members, m)
		}
	}
	for _, id := range w.allSearchers() {
		if s := w.searchers[id]; s.isDraining && s.isListedDraining {
			members = append(members, yuccahinge.Member{
				ID: string(id), Domain: s.domain, Role: yuccahinge.RoleSearcher,
				Status: yuccahinge.StatusLeaving, Incarnation: s.incarnation(),
			})
		}
	}
	p := &w.platform
	p.memberLists = append(p.memberLists, memberList{at: w.now(), members: members})
	if len(p.memberLists) > 64 {
		p.memberLists = p.memberLists[1:]
	}
}

// callPlatform calls the platform from a host. The function done runs once, with nil if no reply arrives in time.
func (w *World) callPlatform(h *host, read func() any, done func(any)) {
	ended := false
	end := func(reply any) {
		if ended {
			w.uncountStep()
			return
		}
		ended = true
		done(reply)
	}
	h.after(platformTimeoutMs, func() { end(nil) })
	w.send(platformPath, h.endpoint(), platformEndpoint, nil, func() {
		if w.platform.downFaults > 0 {
			return
		}
		w.check.count("platform call")
		reply := read()
		w.send(platformPath, platformEndpoint, h.endpoint(), h, func() { end(reply) })
	})
}

const platformTimeoutMs = 1 * yuccahinge.Second

func addr(domain, host int) string { return fmt.Sprintf("10.%d.0.%d:7000", domain+1, host%250+1) }
