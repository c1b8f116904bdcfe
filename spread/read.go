package spread

import (
	"math/bits"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// DefaultInterval is the default interval between two exchanges of a host.
const DefaultInterval = 1 * yuccahinge.Second

// ReadersPerDomain is the number of hosts in each failure domain that are elected to read the platform.
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
func (o *observedRead) update(at yuccahinge.Millis, read Read) {
	if o.isSet && at <= o.at {
		return
	}
	*o = observedRead{isSet: true, at: at, read: read}
}

// summaryRead returns the read for a summary: this host's own if it is recent, so that two fallback readers detect
// each other, else the newest known.
func (r *readTracker) summaryRead(now yuccahinge.Millis) Read {
	newest := r.newest
	if r.own.isSet && now-r.own.at < fallbackBase {
		newest = r.own
	}
	if !newest.isSet {
		return Read{}
	}
	read := newest.read
	read.AgeMs = max(0, now-newest.at)
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
func (node *Node) recordRead(now yuccahinge.Millis, read Read) {
	if read.Reader == "" || read.Reader == node.Self || !(read.AgeMs >= 0) || read.Head < node.Number() {
		return
	}
	at := now - read.AgeMs
	node.reads.newest.update(at, read)
	node.reads.confirm(node.Number())
	// Of two hosts that read the platform as a fallback, the one with the lower id goes on reading.
	if !node.reads.isFallback || read.Reader < node.Self || node.isElected(read.Reader) {
		node.reads.peer.update(at, read)
	}
}

// SetMembers sets the current entry hosts and keeps the slice. It drops the numbers of hosts that are gone once numbers of
// more than twice the current hosts are kept.
func (node *Node) SetMembers(now yuccahinge.Millis, members []yuccahinge.Member) {
	node.members = members
	node.initReads(now)
	if len(node.peerNumbers) <= 2*len(members) {
		return
	}
	for id := range node.peerNumbers {
		if !slices.ContainsFunc(members, func(m yuccahinge.Member) bool { return m.ID == string(id) }) {
			delete(node.peerNumbers, id)
		}
	}
}

// initReads sets the start time and the jitter at the first call.
func (node *Node) initReads(now yuccahinge.Millis) {
	if node.reads.started.isSet {
		return
	}
	node.reads.started.update(now, Read{})
	node.reads.jitter = yuccahinge.Millis(node.random().Float64()) * fallbackJitter
}

// IsElected reports whether this host is one of those elected in its failure domain to read the platform.
func (node *Node) IsElected() bool { return node.isElected(node.Self) }

func (node *Node) isElected(id yuccahinge.HostID) bool {
	order := rendez.Order("reader/"+string(node.Domain), node.liveIDs(node.Domain))
	return slices.Contains(order[:min(ReadersPerDomain, len(order))], string(id))
}

// ShouldRead reports whether this host should read the platform now: as an elected reader, or as a fallback because
// no recent read by another host is known.
func (node *Node) ShouldRead(now yuccahinge.Millis) bool {
	node.initReads(now)
	if node.IsElected() {
		node.reads.isFallback = false
		return true
	}
	last := max(node.reads.started.at, node.reads.peer.at)
	node.reads.isFallback = now-last > node.fallbackDelay()+node.reads.jitter
	return node.reads.isFallback
}

// LastKnownRead returns the newest known read of another host that makes a read by this one unnecessary, and false if there was none.
func (node *Node) LastKnownRead(now yuccahinge.Millis) (Read, bool) {
	known := node.reads.peer
	known.read.AgeMs = max(0, now-known.at)
	return known.read, known.isSet
}

// fallbackDelay returns how long to wait for a read by another host. It allows for the time a read takes to reach all
// hosts of the domain: exchanges go both ways, so the number of hosts that know it more than doubles in each
// interval.
func (node *Node) fallbackDelay() yuccahinge.Millis {
	interval := node.IntervalMs
	if interval <= 0 {
		interval = DefaultInterval
	}
	return fallbackBase + interval/2*yuccahinge.Millis(bits.Len(uint(len(node.liveIDs(node.Domain)))))
}

// StateAge returns the time since a read last confirmed the state in force as the newest, and false if none has.
func (node *Node) StateAge(now yuccahinge.Millis) (yuccahinge.Millis, bool) {
	return max(0, now-node.reads.confirmed.at), node.reads.confirmed.isSet
}

// WatchAfter returns the number that a head must exceed to be new to this host. While a head is blocked, the number is
// at least that head.
func (node *Node) WatchAfter(now yuccahinge.Millis) yuccahinge.TicketNumber {
	if now < node.blockedUntil {
		return max(node.Number(), node.blockedHead)
	}
	return node.Number()
}

// HighestHead returns the highest head read by this host.
func (node *Node) HighestHead() yuccahinge.TicketNumber { return node.head }

// HandleHead handles a head that this host read from the platform.
func (node *Node) HandleHead(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	node.head = max(node.head, head)
	if head < node.Number() {
		// The head comes from a stale copy of the platform, so it can't confirm the state in force.
		return []Decision{{Kind: Ignored, Number: head, Reason: "the platform's head is lower"}}
	}
	read := Read{Reader: node.Self, Head: head}
	node.reads.own.update(now, read)
	node.reads.newest.update(now, read)
	node.reads.confirm(node.Number())
	return node.planRead(now, head)
}

// planRead returns what to read next to reach the head: the next ticket, or the whole state after a conflict or
// when the gap is large.
func (node *Node) planRead(now yuccahinge.Millis, head yuccahinge.TicketNumber) []Decision {
	n := node.Number()
	if head <= n || (now < node.blockedUntil && head <= node.blockedHead) {
		return nil
	}
	if node.HasConflict() || head-n > maxTicketReads {
		return []Decision{{Kind: ReadState, Number: head}}
	}
	return []Decision{{Kind: ReadTicket, Number: n + 1}}
}

// HandleTicket handles a ticket that this host read from the platform. It falls back to the whole state if the
// ticket is refused.
func (node *Node) HandleTicket(now yuccahinge.Millis, t *yuccahinge.Ticket) []Decision {
	if t.Number != node.Number()+1 {
		return node.planRead(now, node.head)
	}
	out, ok := node.applyTicket("", &Push{Ticket: t})
	if !ok {
		node.blockHead(now, node.head, refusedRetryDelay)
		return append(out, Decision{Kind: ReadState, Number: node.head})
	}
	return append(out, node.planRead(now, node.head)...)
}

// HandleTicketError handles a ticket at or below the platform's head that is missing there or can't be decoded.
func (node *Node) HandleTicketError(now yuccahinge.Millis, n yuccahinge.TicketNumber, missing bool, reason string) []Decision {
	if n <= node.Number() {
		return nil
	}
	kind, span := Refused, refusedRetryDelay
	if missing {
		kind, span = Gap, headRetryDelay
	}
	node.blockHead(now, node.head, span)
	return []Decision{{Kind: kind, Number: n, Reason: reason}, {Kind: ReadState, Number: node.head}}
}

// HandleState handles a whole state that this host read from the platform.
func (node *Node) HandleState(now yuccahinge.Millis, next *yuccahinge.State) []Decision {
	out := node.acceptState("", next)
	if node.Number() < node.head {
		node.blockHead(now, node.head, headRetryDelay)
	}
	return out
}

// blockHead suppresses reads of tickets and states up to the head for the span.
func (node *Node) blockHead(now yuccahinge.Millis, head yuccahinge.TicketNumber, span yuccahinge.Millis) {
	node.blockedHead = max(node.blockedHead, head)
	node.blockedUntil = max(node.blockedUntil, now+span)
}
