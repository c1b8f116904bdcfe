package spread

import (
	"math/bits"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// DefaultInterval is the default interval between two exchanges of a host.
const DefaultInterval = 1 * yuccahinge.Second

// ReadersPerDomain is the number of hosts in each domain that are elected to read the platform.
const ReadersPerDomain = 2

const (
	// fallbackBase is the time without a known read after which a host that isn't elected reads the platform. The
	// time that a read takes to propagate is added to it.
	fallbackBase = 2 * yuccahinge.Second
	// fallbackJitter is the upper bound of a random extra delay, so that not all hosts start to read at once.
	fallbackJitter = 1 * yuccahinge.Second
)

// readTracker tracks the successful reads of the platform known to this host.
type readTracker struct {
	// newest is the newest known read, own the newest by this host, and peer the newest by a host whose reads
	// make a read by this one unnecessary.
	newest observedRead
	own    observedRead
	peer   observedRead
	// confirmed is the last read that showed the state in force to be the newest.
	confirmed observedRead
	// started holds the time of the first call, and jitter this host's random delay.
	started observedRead
	jitter  yuccahinge.Millis
	// isFallback reports whether this host reads the platform without being elected.
	isFallback bool
}

// observedRead is a read and its time on this host's clock. The zero value means that there was none.
type observedRead struct {
	isSet bool
	at    yuccahinge.Millis
	read  Read
}

// update replaces the read unless the stored one is at least as new.
func (s *observedRead) update(at yuccahinge.Millis, read Read) {
	if s.isSet && at <= s.at {
		return
	}
	*s = observedRead{isSet: true, at: at, read: read}
}

// summaryRead returns the read for a summary: this host's own if it is recent, so that two fallback readers detect
// each other, else the newest known.
func (r *readTracker) summaryRead(now yuccahinge.Millis) Read {
	s := r.newest
	if r.own.isSet && now-r.own.at < fallbackBase {
		s = r.own
	}
	if !s.isSet {
		return Read{}
	}
	read := s.read
	read.AgeMs = max(0, now-s.at)
	return read
}

// confirm confirms the state in force, with number n, if the newest read found no higher head.
func (r *readTracker) confirm(n yuccahinge.TicketNumber) {
	if r.newest.isSet && r.newest.read.Head <= n {
		r.confirmed.update(r.newest.at, r.newest.read)
	}
}

// recordRead records a read reported by another host. A head below the number in force comes from a stale copy
// of the platform and is ignored.
func (s *Node) recordRead(now yuccahinge.Millis, read Read) {
	if read.Reader == "" || read.Reader == s.Self || !(read.AgeMs >= 0) || read.Head < s.Number() {
		return
	}
	at := now - read.AgeMs
	s.reads.newest.update(at, read)
	s.reads.confirm(s.Number())
	// Of two fallback readers the one with the lower id goes on reading.
	if !s.reads.isFallback || read.Reader < s.Self || s.isElected(read.Reader) {
		s.reads.peer.update(at, read)
	}
}

// SetMembers sets the current entry hosts and keeps the slice. It drops the numbers of hosts that are gone once numbers of
// more than twice the current hosts are kept.
func (s *Node) SetMembers(now yuccahinge.Millis, members []yuccahinge.Member) {
	s.members = members
	s.initReads(now)
	if len(s.peerNumbers) <= 2*len(members) {
		return
	}
	for id := range s.peerNumbers {
		if !slices.ContainsFunc(members, func(m yuccahinge.Member) bool { return m.ID == string(id) }) {
			delete(s.peerNumbers, id)
		}
	}
}

// initReads sets the start time and the jitter at the first call.
func (s *Node) initReads(now yuccahinge.Millis) {
	if s.reads.started.isSet {
		return
	}
	s.reads.started.update(now, Read{})
	s.reads.jitter = yuccahinge.Millis(s.random().Float64()) * fallbackJitter
}

// IsElected reports whether this host is one of its domain's readers.
func (s *Node) IsElected() bool { return s.isElected(s.Self) }

func (s *Node) isElected(id yuccahinge.HostID) bool {
	order := rendez.Order("reader/"+string(s.Domain), s.liveIDs(s.Domain))
	return slices.Contains(order[:min(ReadersPerDomain, len(order))], string(id))
}

// ShouldRead reports whether this host should read the platform now: as an elected reader, or as a fallback because
// no recent read by another host is known.
func (s *Node) ShouldRead(now yuccahinge.Millis) bool {
	s.initReads(now)
	if s.IsElected() {
		s.reads.isFallback = false
		return true
	}
	last := max(s.reads.started.at, s.reads.peer.at)
	s.reads.isFallback = now-last > s.fallbackDelay()+s.reads.jitter
	return s.reads.isFallback
}

// fallbackDelay returns how long to wait for a read by another host. It allows for the time a read takes to reach all
// hosts of the domain: exchanges go both ways, so the number of hosts that know it more than doubles in a period.
func (s *Node) fallbackDelay() yuccahinge.Millis {
	period := s.IntervalMs
	if period <= 0 {
		period = DefaultInterval
	}
	return fallbackBase + period/2*yuccahinge.Millis(bits.Len(uint(len(s.liveIDs(s.Domain)))))
}

// StateAge returns the time since a read last confirmed the state in force as the newest, and false if none has.
func (s *Node) StateAge(now yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return max(0, now-s.reads.confirmed.at), s.reads.confirmed.isSet
}

// WatchAfter returns the number that a head must exceed to be new to this host. While a head is blocked, the number is
// at least that head.
func (s *Node) WatchAfter(now yuccahinge.Millis) yuccahinge.TicketNumber {
	if now < s.blockedUntil {
		return max(s.Number(), s.blockedHead)
	}
	return s.Number()
}

// HighestHead returns the highest head read by this host.
func (s *Node) HighestHead() yuccahinge.TicketNumber { return s.head }

// HandleHead handles a head that this host read from the platform.
func (s *Node) HandleHead(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	s.head = max(s.head, head)
	if head < s.Number() {
		// The head comes from a stale copy of the platform, so it can't confirm the state in force.
		return []Decision{{Kind: Ignored, Number: head, Reason: "the platform's head is lower"}}
	}
	read := Read{Reader: s.Self, Head: head}
	s.reads.own.update(now, read)
	s.reads.newest.update(now, read)
	s.reads.confirm(s.Number())
	return s.planRead(now, head)
}

// planRead returns what to read next to reach the head: the next ticket, or the whole state after a conflict or
// when the gap is large.
func (s *Node) planRead(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	n := s.Number()
	if head <= n || (now < s.blockedUntil && head <= s.blockedHead) {
		return nil
	}
	if s.HasConflict() || head-n > maxTicketReads {
		return []Decision{{Kind: ReadState, Number: head}}
	}
	return []Decision{{Kind: ReadTicket, Number: n + 1}}
}

// HandleTicket handles a ticket that this host read from the platform. It falls back to the whole state if the
// ticket is refused.
func (s *Node) HandleTicket(now yuccahinge.Millis, t *yuccahinge.Ticket) []Decision {
	if t.Number != s.Number()+1 {
		return s.planRead(now, s.head)
	}
	out, ok := s.applyTicket("", &Push{Ticket: t})
	if !ok {
		s.blockHead(now, s.head, refusedRetryDelay)
		return append(out, Decision{Kind: ReadState, Number: s.head})
	}
	return append(out, s.planRead(now, s.head)...)
}

// HandleTicketError handles a ticket at or below the platform's head that is missing there or can't be decoded.
func (s *Node) HandleTicketError(now yuccahinge.Millis, n yuccahinge.TicketNumber, missing bool, reason string) []Decision {
	if n <= s.Number() {
		return nil
	}
	kind, span := Refused, refusedRetryDelay
	if missing {
		kind, span = Gap, headRetryDelay
	}
	s.blockHead(now, s.head, span)
	return []Decision{{Kind: kind, Number: n, Reason: reason}, {Kind: ReadState, Number: s.head}}
}

// HandleState handles a whole state that this host read from the platform.
func (s *Node) HandleState(now yuccahinge.Millis, next *yuccahinge.State) []Decision {
	out := s.acceptState("", next)
	if s.Number() < s.head {
		s.blockHead(now, s.head, headRetryDelay)
	}
	return out
}

// blockHead suppresses reads up to the head for the span.
func (s *Node) blockHead(now yuccahinge.Millis, head yuccahinge.TicketNumber, span yuccahinge.Millis) {
	s.blockedHead = max(s.blockedHead, head)
	s.blockedUntil = max(s.blockedUntil, now+span)
}
