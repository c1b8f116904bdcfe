package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

const (
	simStep  = yuccahinge.Millis(20)
	inForce  = 8 * yuccahinge.Second
	maxDelay = 60
)

// replica is a copy of the platform: a chain of tickets and the whole state after them.
type replica struct {
	tickets []*yuccahinge.Ticket
	state   *yuccahinge.State
	// hidden is how many of the newest tickets this copy does not show yet.
	hidden int
	down   bool
}

func (r *replica) head() yuccahinge.TicketNumber {
	return yuccahinge.TicketNumber(max(0, len(r.tickets)-r.hidden))
}

// message is on its way: a request, or with reply the reply to the one that was sent.
type message struct {
	at       yuccahinge.Millis
	from, to int
	request  Request
	reply    *Reply
}

// simHost is one host of the simulation.
type simHost struct {
	spread   *Spread
	next     yuccahinge.Millis
	nextRead yuccahinge.Millis
	asleep   yuccahinge.Millis
	highest  yuccahinge.TicketNumber
	domain   int
	rounds   int
}

// sim runs hosts over a network and a platform that fail.
type sim struct {
	t        *rapid.T
	now      yuccahinge.Millis
	rand     *rand.Rand
	hosts    []*simHost
	members  []yuccahinge.Member
	replicas [2]replica
	mail     []message
	loss     float64
	double   float64
	cut      func(from, to int) bool
	// digests are those that a fold of published tickets can give, by number.
	digests map[yuccahinge.Digest]bool
	raced   bool
	reads   int
}

func newSim(t *rapid.T, domains, each int, seed uint64) *sim {
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 1)), digests: map[yuccahinge.Digest]bool{"": true}}
	for i := range domains * each {
		m := yuccahinge.Member{
			ID: fmt.Sprintf("h%02d", i), Domain: yuccahinge.DomainID(fmt.Sprint("d", i%domains)),
			Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive,
		}
		s.members = append(s.members, m)
		s.hosts = append(s.hosts, &simHost{domain: i % domains})
		s.restart(i)
	}
	return s
}

// restart begins a new life of a host, which has forgotten everything.
func (s *sim) restart(i int) {
	m := s.members[i]
	s.hosts[i] = &simHost{
		spread: &Spread{Self: yuccahinge.HostID(m.ID), Domain: m.Domain, Seed: s.rand.Uint64()},
		next:   s.now + yuccahinge.Millis(s.rand.Float64())*DefaultPeriod, domain: s.hosts[i].domain,
	}
	s.hosts[i].spread.Tick(s.now, s.members)
}

// publish adds a ticket to both copies, and with race another one of the same number to the second.
func (s *sim) publish(race bool) {
	a, b := &s.replicas[0], &s.replicas[1]
	if !race && len(b.tickets) > 0 {
		// The platform settles a race before it takes the next ticket.
		b.tickets, b.state = slices.Clone(a.tickets), a.state
	}
	s.append(a, s.newTicket(len(a.tickets)+1))
	if race {
		s.raced = true
		s.append(b, s.newTicket(len(b.tickets)+1))
		return
	}
	b.tickets, b.state = slices.Clone(a.tickets), a.state
	s.noteFolds(a.tickets[len(a.tickets)-1])
}

func (s *sim) newTicket(n int) *yuccahinge.Ticket {
	day := time.Unix(0, 0).UTC().AddDate(0, 0, s.rand.IntN(1<<20)).Format(time.DateOnly)
	return &yuccahinge.Ticket{
		Number:    yuccahinge.TicketNumber(n),
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"et": {Holidays: []string{day}}},
	}
}

func (s *sim) append(r *replica, t *yuccahinge.Ticket) {
	next, err := ticket.Fold(r.state, t)
	if err != nil {
		s.t.Fatal(err)
	}
	r.tickets = append(r.tickets, t)
	r.state = next
	s.digests[next.Digest] = true
	s.noteFolds(t)
}

// noteFolds admits what hosts of either chain of a race may fold to.
func (s *sim) noteFolds(t *yuccahinge.Ticket) {
	for _, h := range s.hosts {
		if next, err := ticket.Fold(h.spread.State(), t); err == nil {
			s.digests[next.Digest] = true
		}
	}
}

func (s *sim) run(span yuccahinge.Millis) {
	for end := s.now + span; s.now < end; s.now += simStep {
		s.deliver()
		for i, h := range s.hosts {
			if s.now >= h.asleep {
				s.step(i, h)
			}
		}
		s.check()
	}
}

func (s *sim) step(i int, h *simHost) {
	if s.now >= h.next {
		h.next = s.now + DefaultPeriod
		h.rounds++
		h.spread.Tick(s.now, s.members)
		s.send(i, s.peer(i, true), nil)
		if h.rounds%3 == 0 {
			s.send(i, s.peer(i, false), nil)
		}
	}
	if s.now >= h.nextRead && h.spread.Reads(s.now) {
		s.read(i, h)
	}
}

// peer returns a random host of the own or of another domain.
func (s *sim) peer(i int, near bool) int {
	var fits []int
	for j, h := range s.hosts {
		if j != i && (h.domain == s.hosts[i].domain) == near {
			fits = append(fits, j)
		}
	}
	if len(fits) == 0 {
		return i
	}
	return fits[s.rand.IntN(len(fits))]
}

func (s *sim) read(i int, h *simHost) {
	h.nextRead = s.now + DefaultPeriod
	r := &s.replicas[h.domain%2]
	if r.down {
		return
	}
	s.reads++
	todo := h.spread.HeadRead(s.now, r.head())
	for len(todo) > 0 {
		d := todo[0]
		todo = todo[1:]
		switch {
		case d.Kind == ReadTicket && d.Number <= r.head():
			todo = append(todo, h.spread.TicketRead(s.now, r.tickets[d.Number-1])...)
		case d.Kind == ReadTicket:
			todo = append(todo, h.spread.TicketFailed(s.now, d.Number, true, "missing")...)
		case d.Kind == ReadState && r.hidden == 0 && r.state != nil:
			todo = append(todo, h.spread.StateRead(s.now, r.state)...)
		case d.Kind != ReadState:
			s.do(i, []Decision{d})
		}
	}
}

// do carries out the decisions that send something.
func (s *sim) do(i int, decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == Refused {
			s.t.Fatalf("%s refused ticket %d: %s", s.members[i].ID, d.Number, d.Reason)
		}
		if d.Kind == Exchange || d.Kind == Deliver {
			to := slices.IndexFunc(s.members, func(m yuccahinge.Member) bool { return m.ID == string(d.Peer) })
			s.send(i, to, d.Parcel)
		}
	}
}

func (s *sim) send(from, to int, p *Parcel) {
	if from == to || to < 0 {
		return
	}
	request := s.hosts[from].spread.Ask(s.now)
	request.Parcel = p
	s.post(message{from: from, to: to, request: request})
}

func (s *sim) post(m message) {
	copies := 1
	if s.rand.Float64() < s.double {
		copies = 2
	}
	if s.rand.Float64() < s.loss || (s.cut != nil && s.cut(m.from, m.to)) {
		copies = 0
	}
	for range copies {
		m.at = s.now + yuccahinge.Millis(1+s.rand.IntN(maxDelay))
		s.mail = append(s.mail, m)
	}
}

func (s *sim) deliver() {
	var due, later []message
	for _, m := range s.mail {
		if m.at <= s.now && s.now >= s.hosts[m.to].asleep {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	s.mail = later
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	for _, m := range due {
		h := s.hosts[m.to]
		if m.reply != nil {
			s.do(m.to, h.spread.Replied(s.now, m.request, *m.reply))
			continue
		}
		reply, decisions := h.spread.Answer(s.now, m.request)
		s.post(message{from: m.to, to: m.from, request: m.request, reply: &reply})
		s.do(m.to, decisions)
	}
}

// check holds at every step.
func (s *sim) check() {
	for i, h := range s.hosts {
		n := h.spread.Number()
		if n < h.highest {
			s.t.Fatalf("at %v the number of %s fell from %d to %d", s.now, s.members[i].ID, h.highest, n)
		}
		h.highest = n
		if !s.raced && !s.digests[h.spread.digest()] {
			s.t.Fatalf("at %v %s holds a state of ticket %d that nobody published", s.now, s.members[i].ID, n)
		}
	}
}

// newest returns the highest number in force on a host that is awake or readable by one.
func (s *sim) newest() yuccahinge.TicketNumber {
	var n yuccahinge.TicketNumber
	for _, h := range s.hosts {
		n = max(n, h.spread.Number())
		if r := &s.replicas[h.domain%2]; !r.down {
			n = max(n, r.head())
		}
	}
	return n
}

func (s *sim) mustHave(n yuccahinge.TicketNumber, why string) {
	for i, h := range s.hosts {
		if h.spread.Number() < n {
			s.t.Fatalf("%s: at %v %s has ticket %d, not %d", why, s.now, s.members[i].ID, h.spread.Number(), n)
		}
	}
}

func (s *sim) mustAgree() {
	for i, h := range s.hosts {
		if h.spread.digest() != s.hosts[0].spread.digest() {
			s.t.Fatalf("at %v %s and %s differ at ticket %d", s.now, s.members[0].ID, s.members[i].ID, h.spread.Number())
		}
	}
}

// heal ends every fault of the network.
func (s *sim) heal() {
	s.loss, s.double, s.cut = 0, 0, nil
	for _, h := range s.hosts {
		h.asleep = 0
	}
}

func (s *sim) actions(t *rapid.T) map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(s.hosts)-1)
	return map[string]func(*rapid.T){
		"publish": func(*rapid.T) { s.publish(false) },
		"race": func(*rapid.T) {
			if len(s.replicas[0].tickets) > 0 {
				s.publish(true)
				s.run(DefaultPeriod)
				s.publish(false)
			}
		},
		"run":  func(t *rapid.T) { s.run(yuccahinge.Millis(rapid.IntRange(20, 3000).Draw(t, "span"))) },
		"lose": func(t *rapid.T) { s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
		"doubleMail": func(t *rapid.T) {
			s.double = rapid.Float64Range(0, 0.5).Draw(t, "double")
		},
		"cutDomain": func(t *rapid.T) {
			d := rapid.IntRange(0, 2).Draw(t, "domain")
			oneWay := rapid.Bool().Draw(t, "oneWay")
			s.cut = func(from, to int) bool {
				out := s.hosts[from].domain == d && s.hosts[to].domain != d
				in := s.hosts[from].domain != d && s.hosts[to].domain == d
				return out || (in && !oneWay)
			}
		},
		"heal":     func(*rapid.T) { s.heal() },
		"restart":  func(t *rapid.T) { s.restart(host.Draw(t, "host")) },
		"sleep":    func(t *rapid.T) { s.hosts[host.Draw(t, "host")].asleep = s.now + 5*yuccahinge.Second },
		"platform": func(t *rapid.T) { s.replicas[rapid.IntRange(0, 1).Draw(t, "replica")].down = rapid.Bool().Draw(t, "down") },
		"stale": func(t *rapid.T) {
			s.replicas[rapid.IntRange(0, 1).Draw(t, "replica")].hidden = rapid.IntRange(0, 3).Draw(t, "hidden")
		},
	}
}

// TestSpreadUnderFaults lets everything fail together, then ends the faults of the network and asks for
// what must hold: what one connected host can read or has is in force on all within 8 s.
func TestSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, rapid.IntRange(1, 5).Draw(t, "each"), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(s.actions(t))
		s.heal()
		want := s.newest()
		s.run(inForce)
		s.mustHave(want, "after the faults")
		s.replicas[0].down, s.replicas[1].down = false, false
		s.replicas[0].hidden, s.replicas[1].hidden = 0, 0
		for range 2 {
			s.publish(false)
			s.run(inForce)
			s.mustHave(yuccahinge.TicketNumber(len(s.replicas[0].tickets)), "after the next ticket")
		}
		s.mustAgree()
	})
}
