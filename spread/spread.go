// Package spread decides how tickets reach every entry host and which state is in force on this one.
//
// A few hosts of each failure domain read the platform. Each host that puts a new state in force tells some
// others at once, and all hosts compare states from time to time, so that what one connected host knows
// reaches all. The number in force never falls, and the first digest that is accepted for a number stands
// until a whole state of a higher number arrives.
package spread

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// Limits of a Spread.
const (
	// ringEntries and ringBytes bound the recent tickets kept for hosts that are a little behind.
	ringEntries = 32
	ringBytes   = 4 << 20
	// maxTicketReads is the gap above which the whole state is read from the platform.
	maxTicketReads = 8
	// blockFor is how long a head is not read again after a read of it brought nothing new.
	blockFor = 3 * yuccahinge.Second
	// refuseFor is the same after the ticket was refused.
	refuseFor = 30 * yuccahinge.Second
)

// Spread decides for one host. Set Self and Domain before the first use. It is not safe for concurrent use.
type Spread struct {
	Self   yuccahinge.HostID
	Domain yuccahinge.DomainID
	// Seed feeds the choice of peers and the jitter.
	Seed uint64
	// PeriodMs is the time between two exchanges of a host; zero takes DefaultPeriod.
	PeriodMs yuccahinge.Millis

	state    *yuccahinge.State
	size     int
	ring     []entry
	conflict yuccahinge.TicketNumber
	reported map[yuccahinge.Digest]bool
	members  []yuccahinge.Member
	known    map[yuccahinge.HostID]yuccahinge.TicketNumber
	rand     *rand.Rand

	head         yuccahinge.TicketNumber
	blocked      yuccahinge.TicketNumber
	blockedUntil yuccahinge.Millis
	reads        reads
}

// State returns the state in force, or nil before the first.
func (s *Spread) State() *yuccahinge.State { return s.state }

// Number returns the number in force.
func (s *Spread) Number() yuccahinge.TicketNumber {
	if s.state == nil {
		return 0
	}
	return s.state.Ticket
}

func (s *Spread) digest() yuccahinge.Digest {
	if s.state == nil {
		return ""
	}
	return s.state.Digest
}

// Conflicted reports whether another digest is known for the number in force.
func (s *Spread) Conflicted() bool {
	return s.conflict > 0 && s.conflict >= s.Number()
}

// Summary returns what this host tells others of its state.
func (s *Spread) Summary(now yuccahinge.Millis) Summary {
	return Summary{
		Host:     s.Self,
		Number:   s.Number(),
		Digest:   s.digest(),
		Conflict: s.conflict,
		Read:     s.reads.told(now),
	}
}

// Ask returns the request of an exchange.
func (s *Spread) Ask(now yuccahinge.Millis) Request {
	return Request{Summary: s.Summary(now)}
}

// Answer takes another host's request and returns the reply to it.
func (s *Spread) Answer(now yuccahinge.Millis, r Request) (Reply, []Decision) {
	out := s.take(r.Summary.Host, r.Parcel)
	out = append(out, s.heard(now, r.Summary)...)
	// The asking host sees from the reply what this one lacks, and delivers it.
	out = slices.DeleteFunc(out, func(d Decision) bool {
		return d.Kind == Exchange && d.Peer == r.Summary.Host && d.Number == 0
	})
	reply := Reply{Summary: s.Summary(now)}
	if !r.Quiet {
		reply.Parcel = s.parcelFor(r.Summary)
	}
	return reply, out
}

// Replied takes the reply to a request of this host.
func (s *Spread) Replied(now yuccahinge.Millis, sent Request, r Reply) []Decision {
	out := s.take(r.Summary.Host, r.Parcel)
	out = append(out, s.heard(now, r.Summary)...)
	if sent.Quiet || refused(sent.Parcel, r.Summary) {
		return out
	}
	if p := s.parcelFor(r.Summary); p != nil {
		out = append(out, Decision{Kind: Deliver, Peer: r.Summary.Host, Parcel: p})
	}
	return out
}

// refused reports whether a host that was sent a parcel which follows from its state still lacks it.
func refused(p *Parcel, sum Summary) bool {
	if p == nil {
		return false
	}
	if len(p.Pushes) == 0 {
		return true
	}
	first := &p.Pushes[0]
	return first.Ticket.Number == sum.Number+1 && first.Before == sum.Digest
}

func (s *Spread) heard(now yuccahinge.Millis, sum Summary) []Decision {
	s.note(sum.Host, sum.Number)
	s.heardRead(now, sum.Read)
	if sum.Conflict <= max(s.Number(), sum.Number) {
		s.conflict = max(s.conflict, sum.Conflict)
	}
	if sum.Number == s.Number() && sum.Digest != s.digest() {
		return s.conflicts(sum.Host, sum.Number, sum.Digest)
	}
	return nil
}

// conflicts notes a second digest for a number and reports it once.
func (s *Spread) conflicts(peer yuccahinge.HostID, n yuccahinge.TicketNumber, d yuccahinge.Digest) []Decision {
	s.conflict = max(s.conflict, n)
	if s.reported[d] {
		return nil
	}
	if s.reported == nil || len(s.reported) >= ringEntries {
		s.reported = make(map[yuccahinge.Digest]bool)
	}
	s.reported[d] = true
	return []Decision{{Kind: Conflict, Peer: peer, Number: n, Digest: d, Reason: "another digest for the same number"}}
}

func (s *Spread) take(from yuccahinge.HostID, p *Parcel) []Decision {
	if p == nil {
		return nil
	}
	var out []Decision
	for i := range p.Pushes {
		more, ok := s.takePush(from, &p.Pushes[i])
		out = append(out, more...)
		if !ok {
			break
		}
	}
	if p.State != nil {
		out = append(out, s.takeState(from, p.State)...)
	}
	return out
}

// takePush reports whether the pushes after this one are worth a look.
func (s *Spread) takePush(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	if p.Ticket == nil {
		return []Decision{{Kind: Refused, Peer: from, Reason: "the push has no ticket"}}, false
	}
	n := p.Ticket.Number
	s.note(from, n)
	switch {
	case n < s.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: n, Reason: "a later ticket is in force"}}, true
	case n == s.Number() && p.After == s.digest():
		return nil, true
	case n == s.Number():
		return s.conflicts(from, n, p.After), true
	case n > s.Number()+1:
		return []Decision{{Kind: Gap, Peer: from, Number: n}, {Kind: Exchange, Peer: from}}, false
	case p.Before != s.digest():
		// The sender's chain differs from the one here, so only a whole state can settle it.
		out := s.conflicts(from, s.Number(), p.Before)
		return append(out, Decision{Kind: Exchange, Peer: from}), false
	}
	return s.fold(from, p)
}

func (s *Spread) fold(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	next, err := ticket.Fold(s.state, p.Ticket)
	if err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Reason: err.Error()}}, false
	}
	if p.After != "" && p.After != next.Digest {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Digest: p.After, Reason: "the ticket folds to another digest"}}, false
	}
	push := Push{Ticket: p.Ticket, Before: s.digest(), After: next.Digest}
	s.remember(push)
	return s.adopt(from, next, false), true
}

func (s *Spread) takeState(from yuccahinge.HostID, next *yuccahinge.State) []Decision {
	s.note(from, next.Ticket)
	switch {
	case next.Ticket < s.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: next.Ticket, Reason: "a later ticket is in force"}}
	case next.Ticket == s.Number() && next.Digest == s.digest():
		return nil
	case next.Ticket == s.Number():
		return s.conflicts(from, next.Ticket, next.Digest)
	}
	if err := ticket.CheckState(next); err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: next.Ticket, Reason: err.Error()}}
	}
	// The tickets kept lead to another state than this one, as far as is known.
	s.ring = nil
	return s.adopt(from, next, true)
}

func (s *Spread) adopt(from yuccahinge.HostID, next *yuccahinge.State, whole bool) []Decision {
	s.state = next
	s.size = 0
	s.reads.settle(next.Ticket)
	out := []Decision{{Kind: Adopt, Peer: from, Number: next.Ticket, Digest: next.Digest, State: next, Whole: whole}}
	return append(out, s.push()...)
}

func (s *Spread) note(peer yuccahinge.HostID, n yuccahinge.TicketNumber) {
	if peer == "" || peer == s.Self {
		return
	}
	if s.known == nil {
		s.known = make(map[yuccahinge.HostID]yuccahinge.TicketNumber)
	}
	s.known[peer] = max(s.known[peer], n)
}

func (s *Spread) random() *rand.Rand {
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(string(s.Self))))
	}
	return s.rand
}
