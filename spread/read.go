package spread

import (
	"math/bits"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// DefaultPeriod is the time between two exchanges of a host.
const DefaultPeriod = 1 * yuccahinge.Second

// Readers is the number of hosts of a domain that watch the platform.
const Readers = 2

const (
	// quietBase is how long no read may be heard of before a host reads for itself, beside the time that word of
	// a read takes to come round.
	quietBase = 2 * yuccahinge.Second
	// quietJitter spreads the hosts that start to read for themselves.
	quietJitter = 1 * yuccahinge.Second
)

// reads keeps what is known of successful reads of the platform.
type reads struct {
	// newest is the newest read known, own the newest of this host, and others the newest of a host that
	// this one leaves the reading to.
	newest sighting
	own    sighting
	others sighting
	// confirmed is when the state in force was last known to be the newest.
	confirmed sighting
	// started is the first instant seen, and jitter this host's own delay.
	started sighting
	jitter  yuccahinge.Millis
	// acting says that this host reads though it is not elected.
	acting bool
}

// sighting is a read and its instant.
type sighting struct {
	seen bool
	at   yuccahinge.Millis
	read Read
}

func (s *sighting) raise(at yuccahinge.Millis, read Read) {
	if s.seen && at <= s.at {
		return
	}
	*s = sighting{seen: true, at: at, read: read}
}

// told returns the read to tell others of: the own one of a host that reads, so that two hosts which read
// in place of the elected ones hear of each other, else the newest known.
func (r *reads) told(now yuccahinge.Millis) Read {
	s := r.newest
	if r.own.seen && now-r.own.at < quietBase {
		s = r.own
	}
	if !s.seen {
		return Read{}
	}
	read := s.read
	read.AgeMs = max(0, now-s.at)
	return read
}

// settle notes that the state in force is the newest if a read says so.
func (r *reads) settle(n yuccahinge.TicketNumber) {
	if r.newest.seen && r.newest.read.Head <= n {
		r.confirmed.raise(r.newest.at, r.newest.read)
	}
}

// heardRead takes a read that another host tells of. One below the number in force shows a stale copy of
// the platform, and counts for nothing.
func (s *Spread) heardRead(now yuccahinge.Millis, read Read) {
	if read.Reader == "" || read.Reader == s.Self || !(read.AgeMs >= 0) || read.Head < s.Number() {
		return
	}
	at := now - read.AgeMs
	s.reads.newest.raise(at, read)
	s.reads.settle(s.Number())
	if !s.reads.acting || read.Reader < s.Self || s.isElected(read.Reader) {
		s.reads.others.raise(at, read)
	}
}

// Tick takes the entry hosts that are believed to run.
func (s *Spread) Tick(now yuccahinge.Millis, members []yuccahinge.Member) {
	s.members = members
	s.start(now)
	if len(s.known) <= 2*len(members) {
		return
	}
	for id := range s.known {
		if !slices.ContainsFunc(members, func(m yuccahinge.Member) bool { return m.ID == string(id) }) {
			delete(s.known, id)
		}
	}
}

func (s *Spread) start(now yuccahinge.Millis) {
	if s.reads.started.seen {
		return
	}
	s.reads.started.raise(now, Read{})
	s.reads.jitter = yuccahinge.Millis(s.random().Float64()) * quietJitter
}

// Elected reports whether this host is one of its domain's readers.
func (s *Spread) Elected() bool { return s.isElected(s.Self) }

func (s *Spread) isElected(id yuccahinge.HostID) bool {
	order := rendez.Order("reader/"+string(s.Domain), s.idsOf(s.Domain))
	return slices.Contains(order[:min(Readers, len(order))], string(id))
}

// Reads reports whether this host reads the platform now: as an elected reader, or because it has heard of
// no other host's read for a while.
func (s *Spread) Reads(now yuccahinge.Millis) bool {
	s.start(now)
	if s.Elected() {
		s.reads.acting = false
		return true
	}
	last := max(s.reads.started.at, s.reads.others.at)
	s.reads.acting = now-last > s.quiet()+s.reads.jitter
	return s.reads.acting
}

// quiet is how long word of a read may take to reach the hosts of the domain: exchanges go both ways, so the
// hosts that have heard it more than double in a period.
func (s *Spread) quiet() yuccahinge.Millis {
	period := s.PeriodMs
	if period <= 0 {
		period = DefaultPeriod
	}
	return quietBase + period/2*yuccahinge.Millis(bits.Len(uint(len(s.idsOf(s.Domain)))))
}

// Age returns the time since the state in force was last known to be the newest, or false when it never was.
func (s *Spread) Age(now yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return max(0, now-s.reads.confirmed.at), s.reads.confirmed.seen
}

// Watch returns the number above which the next read of the head has something to tell.
func (s *Spread) Watch(now yuccahinge.Millis) yuccahinge.TicketNumber {
	if now < s.blockedUntil {
		return max(s.Number(), s.blocked)
	}
	return s.Number()
}

// Head returns the highest head read by this host.
func (s *Spread) Head() yuccahinge.TicketNumber { return s.head }

// HeadRead takes the head that this host read from the platform.
func (s *Spread) HeadRead(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	s.head = max(s.head, head)
	if head < s.Number() {
		// A stale copy of the platform tells nothing of the newest ticket.
		return []Decision{{Kind: Ignored, Number: head, Reason: "the platform's head is lower"}}
	}
	read := Read{Reader: s.Self, Head: head}
	s.reads.own.raise(now, read)
	s.reads.newest.raise(now, read)
	s.reads.settle(s.Number())
	return s.readOn(now, head)
}

func (s *Spread) readOn(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	n := s.Number()
	if head <= n || (now < s.blockedUntil && head <= s.blocked) {
		return nil
	}
	if s.Conflicted() || head-n > maxTicketReads {
		return []Decision{{Kind: ReadState, Number: head}}
	}
	return []Decision{{Kind: ReadTicket, Number: n + 1}}
}

// TicketRead takes a ticket that this host read from the platform.
func (s *Spread) TicketRead(now yuccahinge.Millis, t *yuccahinge.Ticket) []Decision {
	if t.Number != s.Number()+1 {
		return s.readOn(now, s.head)
	}
	out, ok := s.fold("", &Push{Ticket: t})
	if !ok {
		s.block(now, s.head, refuseFor)
		return append(out, Decision{Kind: ReadState, Number: s.head})
	}
	return append(out, s.readOn(now, s.head)...)
}

// TicketFailed takes that the platform lacks a ticket that its head covers, or that it could not be decoded.
func (s *Spread) TicketFailed(now yuccahinge.Millis, n yuccahinge.TicketNumber, missing bool, reason string) []Decision {
	if n <= s.Number() {
		return nil
	}
	kind, span := Refused, refuseFor
	if missing {
		kind, span = Gap, blockFor
	}
	s.block(now, s.head, span)
	return []Decision{{Kind: kind, Number: n, Reason: reason}, {Kind: ReadState, Number: s.head}}
}

// StateRead takes a whole state that this host read from the platform.
func (s *Spread) StateRead(now yuccahinge.Millis, next *yuccahinge.State) []Decision {
	out := s.takeState("", next)
	if s.Number() < s.head {
		s.block(now, s.head, blockFor)
	}
	return out
}

func (s *Spread) block(now yuccahinge.Millis, head yuccahinge.TicketNumber, span yuccahinge.Millis) {
	s.blocked = max(s.blocked, head)
	s.blockedUntil = max(s.blockedUntil, now+span)
}
