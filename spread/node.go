// Package spread distributes tickets among the entry hosts by gossip and decides which state is in force on each.
//
// A few hosts in each failure domain read the platform. A host that adopts a new state pushes it to some others
// at once, and all hosts compare states periodically (anti-entropy), so that a state known to one connected host
// reaches all. The number in force never decreases, and the first digest accepted for a number is kept until a
// whole state with a higher number arrives.
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
	// IntervalMs is the interval between two exchanges of a host; zero means DefaultPeriod.
	IntervalMs yuccahinge.Millis

	state *yuccahinge.State
	// size is the size of the state's JSON form in bytes; zero until it is needed.
	size int
	ring []entry
	// conflictNumber is the highest number with two known digests, and reportedDigests the digests reported already.
	conflictNumber  yuccahinge.TicketNumber
	reportedDigests map[yuccahinge.Digest]bool
	members         []yuccahinge.Member
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
func (s *Node) State() *yuccahinge.State { return s.state }

// Number returns the ticket number of the state in force, or zero if there is none.
func (s *Node) Number() yuccahinge.TicketNumber {
	if s.state == nil {
		return 0
	}
	return s.state.Ticket
}

func (s *Node) digest() yuccahinge.Digest {
	if s.state == nil {
		return ""
	}
	return s.state.Digest
}

// HasConflict reports whether a second digest is known for the number in force or a higher one.
func (s *Node) HasConflict() bool {
	return s.conflictNumber > 0 && s.conflictNumber >= s.Number()
}

// Summary returns the description of this host's state that requests and replies carry.
func (s *Node) Summary(now yuccahinge.Millis) Summary {
	return Summary{
		Host:     s.Self,
		Number:   s.Number(),
		Digest:   s.digest(),
		Conflict: s.conflictNumber,
		Read:     s.reads.summaryRead(now),
	}
}

// NewRequest returns a request that opens an exchange. The caller may add a parcel.
func (s *Node) NewRequest(now yuccahinge.Millis) Request {
	return Request{Summary: s.Summary(now)}
}

// HandleRequest handles another host's request and returns the reply to it.
func (s *Node) HandleRequest(now yuccahinge.Millis, r Request) (Reply, []Decision) {
	out := s.acceptParcel(r.Summary.Host, r.Update)
	out = append(out, s.acceptSummary(now, r.Summary)...)
	// The reply shows the requesting host what this one lacks, and that host then delivers it.
	out = slices.DeleteFunc(out, func(d Decision) bool {
		return d.Kind == Exchange && d.Peer == r.Summary.Host && d.Number == 0
	})
	reply := Reply{Summary: s.Summary(now)}
	if !r.SummaryOnly {
		reply.Update = s.parcelFor(r.Summary)
	}
	return reply, out
}

// HandleReply handles the reply to a request of this host.
func (s *Node) HandleReply(now yuccahinge.Millis, sent Request, r Reply) []Decision {
	out := s.acceptParcel(r.Summary.Host, r.Update)
	out = append(out, s.acceptSummary(now, r.Summary)...)
	if sent.SummaryOnly || isRefused(sent.Update, r.Summary) {
		return out
	}
	if p := s.parcelFor(r.Summary); p != nil {
		out = append(out, Decision{Kind: SendUpdate, Peer: r.Summary.Host, Update: p})
	}
	return out
}

// isRefused reports whether the receiver of a parcel rejected it: the parcel applied to the state in its summary, or
// held a whole state.
func isRefused(p *Update, sum Summary) bool {
	if p == nil {
		return false
	}
	if len(p.Pushes) == 0 {
		return true
	}
	first := &p.Pushes[0]
	return first.Ticket.Number == sum.Number+1 && first.Before == sum.Digest
}

// acceptSummary handles a summary from another host.
func (s *Node) acceptSummary(now yuccahinge.Millis, sum Summary) []Decision {
	s.recordNumber(sum.Host, sum.Number)
	s.recordRead(now, sum.Read)
	if sum.Conflict <= max(s.Number(), sum.Number) {
		s.conflictNumber = max(s.conflictNumber, sum.Conflict)
	}
	if sum.Number == s.Number() && sum.Digest != s.digest() {
		return s.recordConflict(sum.Host, sum.Number, sum.Digest)
	}
	return nil
}

// recordConflict records a second digest for a number and reports each digest once.
func (s *Node) recordConflict(peer yuccahinge.HostID, n yuccahinge.TicketNumber, d yuccahinge.Digest) []Decision {
	s.conflictNumber = max(s.conflictNumber, n)
	if s.reportedDigests[d] {
		return nil
	}
	if s.reportedDigests == nil || len(s.reportedDigests) >= ringEntries {
		s.reportedDigests = make(map[yuccahinge.Digest]bool)
	}
	s.reportedDigests[d] = true
	return []Decision{{Kind: Conflict, Peer: peer, Number: n, Digest: d, Reason: "another digest for the same number"}}
}

func (s *Node) acceptParcel(from yuccahinge.HostID, p *Update) []Decision {
	if p == nil {
		return nil
	}
	var out []Decision
	for i := range p.Pushes {
		more, ok := s.acceptPush(from, &p.Pushes[i])
		out = append(out, more...)
		if !ok {
			break
		}
	}
	if p.State != nil {
		out = append(out, s.acceptState(from, p.State)...)
	}
	return out
}

// acceptPush applies a push and reports whether the pushes after it can still be applied.
func (s *Node) acceptPush(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	if p.Ticket == nil {
		return []Decision{{Kind: Refused, Peer: from, Reason: "push without a ticket"}}, false
	}
	n := p.Ticket.Number
	s.recordNumber(from, n)
	switch {
	case n < s.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: n, Reason: "a later ticket is in force"}}, true
	case n == s.Number() && p.After == s.digest():
		return nil, true
	case n == s.Number():
		return s.recordConflict(from, n, p.After), true
	case n > s.Number()+1:
		return []Decision{{Kind: Gap, Peer: from, Number: n}, {Kind: Exchange, Peer: from}}, false
	case p.Before != s.digest():
		// The sender's chain of tickets differs from the one here, so only a whole state can resolve the conflict.
		out := s.recordConflict(from, s.Number(), p.Before)
		return append(out, Decision{Kind: Exchange, Peer: from}), false
	}
	return s.applyTicket(from, p)
}

func (s *Node) applyTicket(from yuccahinge.HostID, p *Push) ([]Decision, bool) {
	next, err := ticket.Apply(s.state, p.Ticket)
	if err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Reason: err.Error()}}, false
	}
	if p.After != "" && p.After != next.Digest {
		return []Decision{{Kind: Refused, Peer: from, Number: p.Ticket.Number, Digest: p.After, Reason: "applying the ticket gives another digest than the sender's"}}, false
	}
	push := Push{Ticket: p.Ticket, Before: s.digest(), After: next.Digest}
	s.addToRing(push)
	return s.adopt(from, next, false), true
}

func (s *Node) acceptState(from yuccahinge.HostID, next *yuccahinge.State) []Decision {
	s.recordNumber(from, next.Ticket)
	switch {
	case next.Ticket < s.Number():
		return []Decision{{Kind: Ignored, Peer: from, Number: next.Ticket, Reason: "a later ticket is in force"}}
	case next.Ticket == s.Number() && next.Digest == s.digest():
		return nil
	case next.Ticket == s.Number():
		return s.recordConflict(from, next.Ticket, next.Digest)
	}
	if err := ticket.CheckState(next); err != nil {
		return []Decision{{Kind: Refused, Peer: from, Number: next.Ticket, Reason: err.Error()}}
	}
	// The tickets in the ring may lead to another state than this one.
	s.ring = nil
	return s.adopt(from, next, true)
}

func (s *Node) adopt(from yuccahinge.HostID, next *yuccahinge.State, whole bool) []Decision {
	s.state = next
	s.size = 0
	s.reads.confirm(next.Ticket)
	out := []Decision{{Kind: Adopt, Peer: from, Number: next.Ticket, Digest: next.Digest, State: next, Whole: whole}}
	return append(out, s.pushState()...)
}

// recordNumber records that a host has a ticket number.
func (s *Node) recordNumber(peer yuccahinge.HostID, n yuccahinge.TicketNumber) {
	if peer == "" || peer == s.Self {
		return
	}
	if s.peerNumbers == nil {
		s.peerNumbers = make(map[yuccahinge.HostID]yuccahinge.TicketNumber)
	}
	s.peerNumbers[peer] = max(s.peerNumbers[peer], n)
}

func (s *Node) random() *rand.Rand {
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(string(s.Self))))
	}
	return s.rand
}
