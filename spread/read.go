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

// Shares of Node.BoundMs, the time in which a ticket must be in force everywhere. What they leave of it is for a read and for sending
// its result to the other hosts.
const (
	// watchShare bounds the wait of a long poll. A reader on a dead connection notices it only after that.
	watchShare = 1.0 / 3
	// askShare is the age of the last known read from which a host asks others, first the elected ones, for a newer one.
	askShare = 0.4
	// substituteShare is the age from which the first hosts after the elected ones read the platform, and fallbackShare that
	// from which every host does, after up to jitterShare more.
	substituteShare = 0.55
	fallbackShare   = 0.7
	jitterShare     = 0.05
	// pendingShare is how long a host declines what others send while one of them sends it a state.
	pendingShare = 0.2
	// electedRetryShare bounds the delay of an elected reader after a failed read, and retryShare that of any other host.
	electedRetryShare = 0.2
	retryShare        = 0.4
)

// substitutesPerDomain is the number of hosts in each failure domain that read the platform before all others do, when no
// read by the elected ones is known.
const substitutesPerDomain = 2

// readTracker tracks the successful reads of the platform known to this host.
type readTracker struct {
	// newest is the newest known read, own the newest by this host, and peer the newest by a host whose reads
	// make a read by this one unnecessary.
	newest observedRead
	own    observedRead
	peer   observedRead
	// confirmed is the last read that showed the state in force to be the newest.
	confirmed observedRead
	// started holds the time of the first call, and jitter this host's random share of the longest extra delay, 0 to 1.
	started observedRead
	jitter  yuccahinge.Millis
	// isFallback reports whether this host reads the platform without being elected.
	isFallback bool
	// asked counts the hosts that were asked for a newer read.
	asked int
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

// recordRead records a read that another host has reported. A head below the number in force comes from a stale copy of the
// platform and is ignored. The age counts from the time sent, that of the request that a reply answers. How long a request itself was on
// its way is unknown, so with a bound its read is ignored, and one that found a ticket that this host lacks is no reason not to read here.
func (node *Node) recordRead(sent yuccahinge.Millis, read Read, inReply bool) {
	if read.Reader == "" || read.Reader == node.Self || !(read.AgeMs >= 0) || read.Head < node.Number() {
		return
	}
	hasBound := node.BoundMs > 0
	if hasBound && !inReply {
		return
	}
	at := sent - read.AgeMs
	node.reads.newest.update(at, read)
	node.reads.confirm(node.Number())
	if hasBound && read.Head > node.Number() {
		return
	}
	// Of two hosts that read the platform as a fallback, the one with the lower id goes on reading.
	if !node.reads.isFallback || read.Reader < node.Self || node.isElected(read.Reader) {
		node.reads.peer.update(at, read)
	}
}

// SetMembers sets the current entry hosts and keeps the slice. It drops the numbers of hosts that are gone once numbers of
// more than twice the current hosts are kept.
func (node *Node) SetMembers(now yuccahinge.Millis, members []yuccahinge.Member) {
	node.members = members
	node.readerOrder = rendez.Order("reader/"+string(node.Domain), node.liveIDs(node.Domain))
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
	node.reads.jitter = yuccahinge.Millis(node.random().Float64())
}

// IsElected reports whether this host is one of those elected in its failure domain to read the platform.
func (node *Node) IsElected() bool { return node.isElected(node.Self) }

func (node *Node) isElected(id yuccahinge.HostID) bool {
	return slices.Contains(node.readerOrder[:min(ReadersPerDomain, len(node.readerOrder))], string(id))
}

// isSubstitute reports whether this host is among the first ones that read the platform in place of the elected ones.
func (node *Node) isSubstitute() bool {
	at := slices.Index(node.readerOrder, string(node.Self))
	return at >= ReadersPerDomain && at < ReadersPerDomain+substitutesPerDomain
}

// WatchWait returns how long a read of the platform should wait for a change; zero if there is no bound.
func (node *Node) WatchWait() yuccahinge.Millis { return watchShare * node.BoundMs }

// MaxRetryDelay returns the longest delay of this host's next read after a failed one; zero if there is no bound.
func (node *Node) MaxRetryDelay() yuccahinge.Millis {
	if node.IsElected() {
		return electedRetryShare * node.BoundMs
	}
	return retryShare * node.BoundMs
}

// HostToAsk returns a host to exchange with because the last known read is old, or "" if there is none to ask. Calls go round the
// elected hosts and their substitutes, since any of them may be unable to read or to reply.
func (node *Node) HostToAsk(now yuccahinge.Millis) yuccahinge.HostID {
	if node.BoundMs <= 0 || node.IsElected() || now-node.lastRead() <= askShare*node.BoundMs {
		return ""
	}
	ids := node.electedPeers(ReadersPerDomain + substitutesPerDomain)
	if len(ids) == 0 {
		return ""
	}
	node.reads.asked++
	return ids[node.reads.asked%len(ids)]
}

// electedPeers returns the other ones of the first n hosts in the order of election.
func (node *Node) electedPeers(n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range node.readerOrder[:min(n, len(node.readerOrder))] {
		if id != string(node.Self) {
			out = append(out, yuccahinge.HostID(id))
		}
	}
	return out
}

// ShouldRead reports whether this host should read the platform now: as an elected reader, or as a fallback because
// no recent read by another host is known.
func (node *Node) ShouldRead(now yuccahinge.Millis) bool {
	node.initReads(now)
	if node.IsElected() {
		node.reads.isFallback = false
		return true
	}
	node.reads.isFallback = now-node.lastRead() > node.readDelay()
	return node.reads.isFallback
}

// lastRead returns the time of the last known read by another host, or that of the start.
func (node *Node) lastRead() yuccahinge.Millis {
	return max(node.reads.started.at, node.reads.peer.at)
}

// readDelay returns the age of the last known read from which this host, which isn't elected, reads the platform.
func (node *Node) readDelay() yuccahinge.Millis {
	switch {
	case node.BoundMs <= 0:
		return node.fallbackDelay() + node.reads.jitter*fallbackJitter
	case node.isSubstitute():
		return substituteShare * node.BoundMs
	default:
		return (fallbackShare + jitterShare*node.reads.jitter) * node.BoundMs
	}
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
