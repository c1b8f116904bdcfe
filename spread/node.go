// Package spread distributes tickets among the entry hosts by gossip and decides which state is in force on each.
//
// A few hosts in each failure domain read the platform. A host that adopts a new state pushes it to some others
// at once, and all hosts compare states periodically (anti-entropy), so that a state known to one connected host
// reaches all. The number in force never decreases, and the first digest accepted for a number is kept until a
// whole state with a higher number arrives.
package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// Limits of a Node.
const (
	// ringEntries and ringBytes limit the recent tickets kept for hosts that are a few tickets behind.
	ringEntries = 32
	ringBytes   = 4 << 20
	// maxTicketReads is the largest gap that is closed ticket by ticket; above it the whole state is read.
	maxTicketReads = 8
	// headRetryDelay is the delay before a head is tried again after its ticket was missing or the state ended below it.
	headRetryDelay = 3 * yuccahinge.Second
	// refusedRetryDelay is the delay after a ticket was refused or could not be decoded.
	refusedRetryDelay = 30 * yuccahinge.Second
)

// Node holds the state in force of one host and decides what to send and read. It does no I/O itself. Set Self
// and Domain before the first use. It is not safe for concurrent use.
type Node struct {
	Self   yuccahinge.HostID
	Domain yuccahinge.DomainID
	// Seed seeds the random choice of peers and the jitter.
	Seed uint64
	// IntervalMs is the interval between two exchanges of a host; zero means DefaultInterval.
	IntervalMs yuccahinge.Millis
	// BoundMs is the time within which a ticket must be in force on every host that reaches the platform. The delays of reads follow
	// from it. Zero means that there is no bound.
	BoundMs yuccahinge.Millis

	state *yuccahinge.State
	// size is the size of the state's JSON form in bytes; zero until it is needed.
	size int
	ring []entry
	// conflictNumber is the highest number with two known digests, and reportedDigests the digests reported already.
	conflictNumber  yuccahinge.TicketNumber
	reportedDigests map[yuccahinge.Digest]bool
	// pending is the highest number that another host was let send to this one, until pendingUntil.
	pending      yuccahinge.TicketNumber
	pendingUntil yuccahinge.Millis
	// fetchUntil is until when this host waits for a state that it has requested after a question.
	fetchUntil yuccahinge.Millis
	members    []yuccahinge.Member
	// readerOrder holds the live hosts of the domain in the order in which they are elected to read the platform.
	readerOrder []string
	// peerNumbers is the highest number known to be in force on each other host.
	peerNumbers map[yuccahinge.HostID]yuccahinge.TicketNumber
	rand        *rand.Rand

	// head is the highest head read. Heads up to blockedHead are not read again before blockedUntil.
	head         yuccahinge.TicketNumber
	blockedHead  yuccahinge.TicketNumber
	blockedUntil yuccahinge.Millis
	reads        readTracker
}

// State returns the state in force, or nil if none was adopted yet. The caller must not change it.
func (node *Node) State() *yuccahinge.State { return node.state }

// Number returns the ticket number of the state in force, or zero if there is none.
func (node *Node) Number() yuccahinge.TicketNumber {
	if node.state == nil {
		return 0
	}
	return node.state.Ticket
}

func (node *Node) digest() yuccahinge.Digest {
	if node.state == nil {
		return ""
	}
	return node.state.Digest
}

// HasConflict reports whether a second digest is known for the number in force or a higher one.
func (node *Node) HasConflict() bool {
	return node.conflictNumber > 0 && node.conflictNumber >= node.Number()
}

// Summary returns the description of this host's state that requests and replies carry.
func (node *Node) Summary(now yuccahinge.Millis) Summary {
	s := Summary{
		Host:     node.Self,
		Number:   node.Number(),
		Digest:   node.digest(),
		Conflict: node.conflictNumber,
		Read:     node.reads.summaryRead(now),
	}
	if now < node.pendingUntil && node.pending > node.Number() {
		s.Pending = node.pending
	}
	return s
}

// startTransfer reports whether another host may send this one what leads to a number, and records that it does. With a bound, one host
// does so at a time: all that have the number would otherwise send the same state.
func (node *Node) startTransfer(now yuccahinge.Millis, n yuccahinge.TicketNumber) bool {
	if node.BoundMs <= 0 {
		return true
	}
	if now < node.pendingUntil && node.pending >= n {
		return false
	}
	node.pending, node.pendingUntil = n, now+pendingShare*node.BoundMs
	return true
}

// NewRequest returns a request that opens an exchange. The caller may set Update.
func (node *Node) NewRequest(now yuccahinge.Millis) Request {
	return Request{Summary: node.Summary(now), createdAt: now}
}

// NewQuestion returns a request for the summary of another host. If that has a higher number, HandleReply decides to fetch the state.
func (node *Node) NewQuestion(now yuccahinge.Millis) Request {
	return Request{Summary: node.Summary(now), SummaryOnly: true, createdAt: now, isQuestion: true}
}

// HandleRequest handles another host's request and returns the reply to it.
func (node *Node) HandleRequest(now yuccahinge.Millis, r Request) (Reply, []Decision) {
	out := node.acceptUpdate(r.Summary.Host, r.Update)
	node.recordRead(now, r.Summary.Read, false)
	out = append(out, node.acceptSummary(r.Summary)...)
	// The reply shows the requesting host what this one lacks, and that host then sends it.
	out = slices.DeleteFunc(out, func(d Decision) bool {
		return d.Kind == Exchange && d.Peer == r.Summary.Host && d.Number == 0
	})
	reply := Reply{Summary: node.Summary(now)}
	if !r.SummaryOnly && r.Summary.Number > node.Number() && node.startTransfer(now, r.Summary.Number) {
		reply.Summary.Pending = 0 // the requesting host sends what this one lacks
	}
	if !r.SummaryOnly {
		reply.Update = node.updateFor(r.Summary)
	}
	return reply, out
}

// HandleReply handles the reply to a request of this host.
func (node *Node) HandleReply(now yuccahinge.Millis, sent Request, r Reply) []Decision {
	out := node.acceptUpdate(r.Summary.Host, r.Update)
	node.recordRead(cmp.Or(sent.createdAt, now), r.Summary.Read, true)
	out = append(out, node.acceptSummary(r.Summary)...)
	if n := r.Summary.Number; sent.isQuestion && n > node.Number() && now >= node.fetchUntil && node.Summary(now).Pending < n {
		node.fetchUntil = now + pendingShare*node.BoundMs
		return append(out, Decision{Kind: Exchange, Peer: r.Summary.Host})
	}
	if sent.SummaryOnly || isRefused(sent.Update, r.Summary) {
		return out
	}
	if u := node.updateFor(r.Summary); u != nil {
		out = append(out, Decision{Kind: SendUpdate, Peer: r.Summary.Host, Update: u})
	}
	return out
}

// isRefused reports whether the receiver of an update rejected it: its summary still shows the state that the update
// applies to, or the update is a whole state.
func isRefused(u *Update, sum Summary) bool {
	if u == nil {
		return false
	}
	if len(u.Pushes) == 0 {
		return true
	}
	first := &u.Pushes[0]
	return first.Ticket.Number == sum.Number+1 && first.Before == sum.Digest
}

// acceptSummary handles a summary from another host.
func (node *Node) acceptSummary(sum Summary) []Decision {
	node.recordNumber(sum.Host, sum.Number)
	if sum.Conflict <= max(node.Number(), sum.Number) {
		node.conflictNumber = max(node.conflictNumber, sum.Conflict)
	}
	if sum.Number == node.Number() && sum.Digest != node.digest() {
		return node.recordConflict(sum.Host, sum.Number, sum.Digest)
	}
	return nil
}

// recordConflict records a second digest for a number and reports each digest once.
func (node *Node) recordConflict(peer yuccahinge.HostID, n yuccahinge.TicketNumber, d yuccahinge.Digest) []Decision {
	node.conflictNumber = max(node.conflictNumber, n)
	if node.reportedDigests[d] {
		return nil
	}
	if node.reportedDigests == nil || len(node.reportedDigests) >= ringEntries {
		node.reportedDigests = make(map[yuccahinge.Digest]bool)
	}
	node.reportedDigests[d] = true
	return []Decision{{Kind: Conflict, Peer: peer, Number: n, Digest: d, Reason: "another digest for the same number"}}
}

func (node *Node) acceptUpdate(from yuccahinge.HostID, u *Update) []Decision {
	if u == nil {
		return nil
	}
	var out []Decision
	for i := range u.Pushes {
		more, ok := node.acceptPush(from, &u.Pushes[i])
		out = append(out, more...)
		if !ok {
			break
		}
	}
	if u.State != nil {
		out = append(out, node.acceptState(from, u.State)...)
	}
	return out
}

// acceptPush applies a push and reports whether the pushes after it can still be applied.
func (node *Node) acceptPush(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	if p.Ticket == nil {
		return []Decision{{Kind: Refused, Peer: from, Reason: "push without a ticket"}}, false
	}
	n := p.Ticket.Number
	node.recordNumber(from, n)
	switch {
	case n < node.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: n, Reason: "a later ticket is in force"}}, true
	case n == node.Number() && p.After == node.digest():
		return nil, true
	case n == node.Number():
		return node.recordConflict(from, n, p.After), true
	case n > node.Number()+1:
		return []Decision{{Kind: Gap, Peer: from, Number: n}, {Kind: Exchange, Peer: from}}, false
	case p.Before != node.digest():
		// The sender's chain of tickets differs from the one here, so only a whole state can resolve the conflict.
		out := node.recordConflict(from, node.Number(), p.Before)
		return append(out, Decision{Kind: Exchange, Peer: from}), false
	}
	return node.applyTicket(from, p)
}

func (node *Node) applyTicket(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	next, err := ticket.Apply(node.state, p.Ticket)
	if err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Reason: err.Error()}}, false
	}
	if p.After != "" && p.After != next.Digest {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Digest: p.After, Reason: "applying the ticket gives another digest than the sender's"}}, false
	}
	push := Push{Ticket: p.Ticket, Before: node.digest(), After: next.Digest}
	node.addToRing(push)
	return node.adopt(from, next, false), true
}

func (node *Node) acceptState(from yuccahinge.HostID, next *yuccahinge.State) []Decision {
	node.recordNumber(from, next.Ticket)
	switch {
	case next.Ticket < node.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: next.Ticket, Reason: "a later ticket is in force"}}
	case next.Ticket == node.Number() && next.Digest == node.digest():
		return nil
	case next.Ticket == node.Number():
		return node.recordConflict(from, next.Ticket, next.Digest)
	}
	if err := ticket.CheckState(next); err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: next.Ticket, Reason: err.Error()}}
	}
	// The tickets in the ring may lead to another state than this one.
	node.ring = nil
	return node.adopt(from, next, true)
}

func (node *Node) adopt(from yuccahinge.HostID, next *yuccahinge.State, whole bool) []Decision {
	node.state = next
	node.size = 0
	node.reads.confirm(next.Ticket)
	out := []Decision{{Kind: Adopt, Peer: from, Number: next.Ticket, Digest: next.Digest, State: next, Whole: whole}}
	return append(out, node.pushState()...)
}

// recordNumber records that a host has a ticket number.
func (node *Node) recordNumber(peer yuccahinge.HostID, n yuccahinge.TicketNumber) {
	if peer == "" || peer == node.Self {
		return
	}
	if node.peerNumbers == nil {
		node.peerNumbers = make(map[yuccahinge.HostID]yuccahinge.TicketNumber)
	}
	node.peerNumbers[peer] = max(node.peerNumbers[peer], n)
}

func (node *Node) random() *rand.Rand {
	if node.rand == nil {
		node.rand = rand.New(rand.NewPCG(node.Seed, xxhash.Sum64String(string(node.Self))))
	}
	return node.rand
}
