package spread

import (
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// Fan-out of a new state.
const (
	// localPeers is the number of hosts in its own domain that each host notifies.
	localPeers = 3
	// In each domain remoteSenders hosts notify remotePeers hosts of every other domain.
	remotePeers   = 1
	remoteSenders = 3
	// maxInlineBytes is the largest ticket that is sent without first comparing summaries.
	maxInlineBytes = 1024
)

// pushState notifies some hosts of the state in force: with the ticket itself if it is small, else with a summary.
func (s *Node) pushState() []Decision {
	parcel := s.inlineParcel()
	var out []Decision
	for _, peer := range s.pushTargets() {
		d := Decision{Kind: Exchange, Peer: peer, Number: s.Number()}
		if parcel != nil {
			d.Kind = SendUpdate
			d.Update = parcel
		}
		out = append(out, d)
	}
	return out
}

// inlineParcel returns a parcel with the newest ticket if it is small enough to send unasked, or nil.
func (s *Node) inlineParcel() *Update {
	if len(s.ring) == 0 {
		return nil
	}
	last := s.ring[len(s.ring)-1]
	if last.size > maxInlineBytes || last.push.Ticket.Number != s.Number() {
		return nil
	}
	return &Update{Pushes: []Push{last.push}}
}

// pushTargets returns random hosts that are not known to have the number in force.
func (s *Node) pushTargets() []yuccahinge.HostID {
	out := s.sampleBehind(s.Domain, localPeers)
	if !s.sendsRemote() {
		return out
	}
	for _, d := range s.domains() {
		if d != s.Domain {
			out = append(out, s.sampleBehind(d, remotePeers)...)
		}
	}
	return out
}

// sendsRemote reports whether this host notifies other domains of the ticket in force. Rendezvous hashing picks the
// senders for each ticket number, which distributes the load over the hosts.
func (s *Node) sendsRemote() bool {
	order := rendez.Order(fmt.Sprint("far/", s.Number()), s.liveIDs(s.Domain))
	at := slices.Index(order, string(s.Self))
	return at < remoteSenders
}

// SamplePeers returns up to n random hosts of the own domain and one of each other domain. It includes leaving and
// suspect hosts, since after a network partition or a pause there may be no others.
func (s *Node) SamplePeers(n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, d := range s.domains() {
		count := 1
		if d == s.Domain {
			count = n
		}
		out = append(out, s.samplePeers(s.filterIDs(d, anyStatus), count)...)
	}
	return out
}

// sampleBehind returns up to n random hosts of a domain that are not known to have the number in force.
func (s *Node) sampleBehind(d yuccahinge.DomainID, n int) []yuccahinge.HostID {
	ids := s.filterIDs(d, isLive)
	ids = slices.DeleteFunc(ids, func(id string) bool { return s.peerNumbers[yuccahinge.HostID(id)] >= s.Number() })
	return s.samplePeers(ids, n)
}

// samplePeers returns up to n random ids, excluding this host's.
func (s *Node) samplePeers(ids []string, n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range ids {
		if id != string(s.Self) {
			out = append(out, yuccahinge.HostID(id))
		}
	}
	s.random().Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// liveIDs returns the ids of the live hosts of a domain, in the order of the members.
func (s *Node) liveIDs(d yuccahinge.DomainID) []string { return s.filterIDs(d, isLive) }

func (s *Node) filterIDs(d yuccahinge.DomainID, match func(yuccahinge.MemberStatus) bool) []string {
	var out []string
	for _, m := range s.members {
		if m.Domain == d && match(m.Status) {
			out = append(out, m.ID)
		}
	}
	return out
}

func isLive(status yuccahinge.MemberStatus) bool { return status == yuccahinge.StatusLive }

func anyStatus(yuccahinge.MemberStatus) bool { return true }

func (s *Node) domains() []yuccahinge.DomainID {
	var out []yuccahinge.DomainID
	for _, m := range s.members {
		out = append(out, m.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MostRecentPeer returns the member with the highest known number, and that number. Both are zero if none is known.
func (s *Node) MostRecentPeer() (yuccahinge.HostID, yuccahinge.TicketNumber) {
	var best yuccahinge.HostID
	var number yuccahinge.TicketNumber
	for _, m := range s.members {
		id := yuccahinge.HostID(m.ID)
		if n := s.peerNumbers[id]; id != s.Self && n > number {
			best, number = id, n
		}
	}
	return best, number
}
