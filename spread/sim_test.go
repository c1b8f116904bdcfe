package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/ticket"
)

const (
	stepInterval   = yuccahinge.Millis(20)
	convergeWithin = 8 * yuccahinge.Second
	askInterval    = yuccahinge.Millis(250)
	defaultDelay   = 60
)

// replica is a copy of the platform: a chain of tickets and the whole state after them.
type replica struct {
	tickets []*yuccahinge.Ticket
	states  []*yuccahinge.State
	// hidden is the number of newest tickets that this copy doesn't return yet.
	hidden int
	down   bool
	// torn reports whether the head is visible before its ticket and state.
	torn bool
}

// available returns the highest number whose ticket and state this copy returns.
func (r *replica) available() yuccahinge.TicketNumber {
	if r.torn {
		return max(1, r.head()) - 1
	}
	return r.head()
}

// state returns the whole state after ticket n, or nil for zero.
func (r *replica) state(n yuccahinge.TicketNumber) *yuccahinge.State {
	if n == 0 {
		return nil
	}
	return r.states[n-1]
}

func (r *replica) copyFrom(o *replica) {
	r.tickets, r.states = slices.Clone(o.tickets), slices.Clone(o.states)
}

func (r *replica) head() yuccahinge.TicketNumber {
	return yuccahinge.TicketNumber(max(0, len(r.tickets)-r.hidden))
}

// message is a request in flight, or the reply to request if reply is set.
type message struct {
	at       yuccahinge.Millis
	from, to int
	request  Request
	reply    *Reply
}

// simHost is one simulated host.
type simHost struct {
	node        *Node
	roster      *roster.Roster
	next        yuccahinge.Millis
	nextRead    yuccahinge.Millis
	nextAsk     yuccahinge.Millis
	pausedUntil yuccahinge.Millis
	highest     yuccahinge.TicketNumber
	domain      int
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// sim runs hosts over a simulated network and platform with injected faults.
type sim struct {
	t        fataler
	now      yuccahinge.Millis
	rand     *rand.Rand
	hosts    []*simHost
	members  []yuccahinge.Member
	replicas [2]replica
	inFlight []message
	// maxDelay is the longest time that a message is on its way, in milliseconds.
	maxDelay  int
	loss      float64
	duplicate float64
	cut       func(from, to int) bool
	// refuseOpen reports whether from can't open an exchange with to. Replies still pass.
	refuseOpen func(from, to int) bool
	// noPlatform holds the hosts that can't reach the platform.
	noPlatform map[int]bool
	// bound is Node.BoundMs of hosts that start.
	bound yuccahinge.Millis
	// isLarge makes tickets so large that they are sent to hosts that lack them only. Messages with them take transferMs longer, and
	// transfers counts them.
	isLarge    bool
	transferMs yuccahinge.Millis
	transfers  int
	// reads counts the reads of hosts that aren't elected.
	reads int
	// digests holds every digest that applying published tickets can give.
	digests  map[yuccahinge.Digest]bool
	hasRaced bool
}

func newSim(t fataler, domains, each int, seed uint64) *sim {
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 1)), maxDelay: defaultDelay, digests: map[yuccahinge.Digest]bool{"": true}, noPlatform: map[int]bool{}}
	for i := range domains * each {
		m := yuccahinge.Member{
			ID: fmt.Sprintf("h%02d", i), Domain: yuccahinge.DomainID(fmt.Sprint("d", i%domains)),
			Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive, PeerAddr: "127.0.0.1:1",
		}
		s.members = append(s.members, m)
		s.hosts = append(s.hosts, &simHost{domain: i % domains})
	}
	for i := range s.hosts {
		s.restart(i)
	}
	return s
}

// restart replaces a host with a new process that has no state.
func (s *sim) restart(i int) {
	m := s.members[i]
	s.hosts[i] = &simHost{
		node: &Node{Self: yuccahinge.HostID(m.ID), Domain: m.Domain, Seed: s.rand.Uint64(), BoundMs: s.bound},
		next: s.now + yuccahinge.Millis(s.rand.Float64())*DefaultInterval, domain: s.hosts[i].domain,
	}
	s.hosts[i].node.SetMembers(s.now, s.members)
	s.hosts[i].roster = &roster.Roster{Self: m, Seed: s.rand.Uint64()}
	s.hosts[i].roster.MergeList(s.now, s.members)
}

// publish appends a ticket to both copies. With race the second copy gets another ticket of the same number.
func (s *sim) publish(race bool) {
	a, b := &s.replicas[0], &s.replicas[1]
	if !race && len(b.tickets) > 0 {
		// The platform resolves a race before it accepts the next ticket.
		b.copyFrom(a)
	}
	s.append(a, s.newTicket(len(a.tickets)+1))
	if race {
		s.hasRaced = true
		s.append(b, s.newTicket(len(b.tickets)+1))
		return
	}
	b.copyFrom(a)
	s.addReachableDigests(a.tickets[len(a.tickets)-1])
}

func (s *sim) newTicket(n int) *yuccahinge.Ticket {
	day := time.Unix(0, 0).UTC().AddDate(0, 0, s.rand.IntN(1<<20)).Format(time.DateOnly)
	name := yuccahinge.CalendarName(fmt.Sprint("c", s.rand.IntN(5)))
	holidays := []string{day}
	if s.isLarge {
		for i := range maxInlineBytes / len(day) {
			holidays = append(holidays, time.Unix(0, 0).UTC().AddDate(3000, 0, i).Format(time.DateOnly))
		}
	}
	return &yuccahinge.Ticket{
		Number: yuccahinge.TicketNumber(n),
		// Tickets that set different keys keep the states of the two sides of a race different.
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{name: {Holidays: holidays}},
	}
}

func (s *sim) append(r *replica, t *yuccahinge.Ticket) {
	next, err := ticket.Apply(r.state(yuccahinge.TicketNumber(len(r.states))), t)
	if err != nil {
		s.t.Fatal(err)
	}
	r.tickets = append(r.tickets, t)
	r.states = append(r.states, next)
	s.digests[next.Digest] = true
	s.addReachableDigests(t)
}

// addReachableDigests adds the digests that hosts reach by applying the ticket to their present states, which differ in
// a race.
func (s *sim) addReachableDigests(t *yuccahinge.Ticket) {
	for _, h := range s.hosts {
		if next, err := ticket.Apply(h.node.State(), t); err == nil {
			s.digests[next.Digest] = true
		}
	}
}

func (s *sim) run(span yuccahinge.Millis) {
	for end := s.now + span; s.now < end; s.now += stepInterval {
		s.deliver()
		for i, h := range s.hosts {
			if s.now >= h.pausedUntil {
				s.step(i, h)
			}
		}
		s.check()
	}
}

func (s *sim) step(i int, h *simHost) {
	if s.now >= h.next {
		h.next = s.now + DefaultInterval
		h.node.SetMembers(s.now, s.members)
		for _, m := range h.roster.PickPeers(s.now) {
			s.send(i, s.index(m.ID), nil)
		}
	}
	if s.now >= h.nextAsk {
		h.nextAsk = s.now + askInterval
		if to := s.index(string(h.node.HostToAsk(s.now))); to >= 0 {
			s.post(message{from: i, to: to, request: h.node.NewQuestion(s.now)})
		}
	}
	if s.now >= h.nextRead && h.node.ShouldRead(s.now) {
		s.read(i, h)
	}
}

func (s *sim) read(i int, h *simHost) {
	h.nextRead = s.now + max(DefaultInterval, h.node.WatchWait())
	if !h.node.IsElected() {
		s.reads++
	}
	r := &s.replicas[h.domain%2]
	if r.down || s.noPlatform[i] {
		return
	}
	pending := h.node.HandleHead(s.now, r.head())
	for len(pending) > 0 {
		d := pending[0]
		pending = pending[1:]
		switch {
		case d.Kind == ReadTicket && d.Number <= r.available():
			pending = append(pending, h.node.HandleTicket(s.now, r.tickets[d.Number-1])...)
		case d.Kind == ReadTicket:
			pending = append(pending, h.node.HandleTicketError(s.now, d.Number, true, "missing")...)
		case d.Kind == ReadState && r.available() > 0:
			pending = append(pending, h.node.HandleState(s.now, r.state(r.available()))...)
		case d.Kind != ReadState:
			s.execute(i, []Decision{d})
		}
	}
}

// execute carries out the decisions that send a message, and fails the test on Refused.
func (s *sim) execute(i int, decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == Refused {
			s.t.Fatalf("%s refused ticket %d: %s", s.members[i].ID, d.Number, d.Reason)
		}
		if d.Kind == Exchange || d.Kind == SendUpdate {
			s.send(i, s.index(string(d.Peer)), d.Update)
		}
	}
}

func (s *sim) index(id string) int {
	return slices.IndexFunc(s.members, func(m yuccahinge.Member) bool { return m.ID == id })
}

func (s *sim) send(from, to int, u *Update) {
	if from == to || to < 0 {
		return
	}
	request := s.hosts[from].node.NewRequest(s.now)
	request.Update = u
	s.post(message{from: from, to: to, request: request})
}

func (s *sim) post(m message) {
	copies := 1
	if s.rand.Float64() < s.duplicate {
		copies = 2
	}
	if m.reply == nil && s.refuseOpen != nil && s.refuseOpen(m.from, m.to) {
		return
	}
	if s.rand.Float64() < s.loss || (s.cut != nil && s.cut(m.from, m.to)) {
		copies = 0
	}
	for range copies {
		m.at = s.now + yuccahinge.Millis(1+s.rand.IntN(s.maxDelay))
		if m.reply == nil && m.request.Update != nil || m.reply != nil && m.reply.Update != nil {
			s.transfers++
			m.at += s.transferMs
		}
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *sim) deliver() {
	var due, later []message
	for _, m := range s.inFlight {
		if m.at <= s.now && s.now >= s.hosts[m.to].pausedUntil {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	s.inFlight = later
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	for _, m := range due {
		h := s.hosts[m.to]
		if m.reply != nil {
			s.execute(m.to, h.node.HandleReply(s.now, m.request, *m.reply))
			continue
		}
		reply, decisions := h.node.HandleRequest(s.now, m.request)
		s.post(message{from: m.to, to: m.from, request: m.request, reply: &reply})
		s.execute(m.to, decisions)
	}
}

// check asserts the invariants of every step: numbers never decrease, and without a race each state was published.
func (s *sim) check() {
	for i, h := range s.hosts {
		n := h.node.Number()
		if n < h.highest {
			s.t.Fatalf("at %v the number in force on %s decreased from %d to %d", s.now, s.members[i].ID, h.highest, n)
		}
		h.highest = n
		if !s.hasRaced && !s.digests[h.node.digest()] {
			s.t.Fatalf("at %v %s has a state of ticket %d that was never published", s.now, s.members[i].ID, n)
		}
	}
}

// newest returns the highest number in force on any host, or readable from the platform by one.
func (s *sim) newest() yuccahinge.TicketNumber {
	var n yuccahinge.TicketNumber
	for i, h := range s.hosts {
		n = max(n, h.node.Number())
		if r := &s.replicas[h.domain%2]; !r.down && !s.noPlatform[i] {
			n = max(n, r.available())
		}
	}
	return n
}

func (s *sim) mustReach(n yuccahinge.TicketNumber, why string) {
	for i, h := range s.hosts {
		if h.node.Number() < n {
			s.t.Fatalf("%s: at %v %s has ticket %d, want at least %d", why, s.now, s.members[i].ID, h.node.Number(), n)
		}
	}
}

func (s *sim) mustAgree() {
	for i, h := range s.hosts {
		if h.node.digest() != s.hosts[0].node.digest() {
			s.t.Fatalf("at %v the digests of %s and %s differ; the second has ticket %d", s.now, s.members[0].ID, s.members[i].ID, h.node.Number())
		}
	}
}

// mustRecordConflicts asserts that hosts with different states of the same number have recorded the conflict.
func (s *sim) mustRecordConflicts() {
	for i, h := range s.hosts {
		if h.node.digest() != s.hosts[0].node.digest() && h.node.Number() == s.hosts[0].node.Number() && !h.node.HasConflict() {
			s.t.Fatalf("at %v %s has not recorded the conflict of its ticket %d", s.now, s.members[i].ID, h.node.Number())
		}
	}
}

// heal ends message loss, duplication, partitions and pauses. Hosts that can't open or accept exchanges or can't
// reach the platform stay so.
func (s *sim) heal() {
	s.loss, s.duplicate, s.cut = 0, 0, nil
	for _, h := range s.hosts {
		h.pausedUntil = 0
	}
}

func (s *sim) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(s.hosts)-1)
	return map[string]func(*rapid.T){
		"publish": func(*rapid.T) { s.publish(false) },
		"race": func(*rapid.T) {
			if len(s.replicas[0].tickets) > 0 {
				s.publish(true)
				s.run(DefaultInterval)
				s.publish(false)
			}
		},
		"run":  func(t *rapid.T) { s.run(yuccahinge.Millis(rapid.IntRange(20, 3000).Draw(t, "span"))) },
		"lose": func(t *rapid.T) { s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
		"doubleMail": func(t *rapid.T) {
			s.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "double")
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
		"refuseHost": func(t *rapid.T) {
			blockedHost := host.Draw(t, "host")
			in := rapid.Bool().Draw(t, "in")
			s.refuseOpen = func(from, to int) bool { return (in && to == blockedHost) || (!in && from == blockedHost) }
		},
		"blindHosts": func(t *rapid.T) {
			reader := host.Draw(t, "seeing")
			for i := range s.hosts {
				s.noPlatform[i] = i != reader
			}
		},
		"torn": func(t *rapid.T) {
			s.replicas[rapid.IntRange(0, 1).Draw(t, "replica")].torn = rapid.Bool().Draw(t, "torn")
		},
		"heal":    func(*rapid.T) { s.heal() },
		"restart": func(t *rapid.T) { s.restart(host.Draw(t, "host")) },
		"sleep":   func(t *rapid.T) { s.hosts[host.Draw(t, "host")].pausedUntil = s.now + 5*yuccahinge.Second },
		"platform": func(t *rapid.T) {
			s.replicas[rapid.IntRange(0, 1).Draw(t, "replica")].down = rapid.Bool().Draw(t, "down")
		},
		"stale": func(t *rapid.T) {
			s.replicas[rapid.IntRange(0, 1).Draw(t, "replica")].hidden = rapid.IntRange(0, 3).Draw(t, "hidden")
		},
	}
}

// TestSpreadUnderFaults injects faults in any combination, then heals the network. Within 8 s the newest ticket
// that any host has or can read must be in force on all hosts.
func TestSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, rapid.IntRange(1, 5).Draw(t, "each"), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(s.actions())
		s.heal()
		want := s.newest()
		s.run(convergeWithin)
		s.mustReach(want, "after the faults")
		s.mustRecordConflicts()
		for i := range s.replicas {
			r := &s.replicas[i]
			r.down, r.hidden, r.torn = false, 0, false
		}
		for range 2 {
			s.publish(false)
			s.run(convergeWithin)
			s.mustReach(yuccahinge.TicketNumber(len(s.replicas[0].tickets)), "after the next ticket")
		}
		s.mustAgree()
	})
}
