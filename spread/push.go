package spread

import (
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// Numbers of hosts that are notified of a new state.
const (
	// localPeers is the number of hosts in its own domain that each host notifies.
	localPeers = 3
	// In each failure domain remoteSenders hosts notify remotePeers hosts of every other domain.
	remotePeers   = 1
	remoteSenders = 3
	// maxInlineBytes is the largest ticket that is sent without first comparing summaries.
	maxInlineBytes = 1024
)

// pushState notifies some hosts of the state in force: with the ticket itself if it is small, else with a summary.
func (node *Node) pushState() []Decision {
	update := node.inlineUpdate()
	var out []Decision
	for _, peer := range node.pushTargets() {
		d := Decision{Kind: Exchange, Peer: peer, Number: node.Number()}
		if update != nil {
			d.Kind = SendUpdate
			d.Update = update
		}
		out = append(out, d)
	}
	return out
}

// inlineUpdate returns an update with the newest ticket if it is small enough to send without a comparison, or nil.
func (node *Node) inlineUpdate() *Update {
	if len(node.ring) == 0 {
		return nil
	}
	last := node.ring[len(node.ring)-1]
	if last.size > maxInlineBytes || last.push.Ticket.Number != node.Number() {
		return nil
	}
	return &Update{Pushes: []Push{last.push}}
}

// pushTargets returns random hosts that are not known to have the number in force.
func (node *Node) pushTargets() []yuccahinge.HostID {
	out := node.sampleBehind(node.Domain, localPeers)
	if !node.sendsRemote() {
		return out
	}
	for _, d := range node.domains() {
		if d != node.Domain {
			out = append(out, node.sampleBehind(d, remotePeers)...)
		}
	}
	return out
}

// sendsRemote reports whether this host notifies other domains of the ticket in force. Rendezvous hashing picks the
// senders for each ticket number, which distributes the load over the hosts.
func (node *Node) sendsRemote() bool {
	order := rendez.Order(fmt.Sprint("far/", node.Number()), node.liveIDs(node.Domain))
	at := slices.Index(order, string(node.Self))
	return at < remoteSenders
}

// SamplePeers returns up to n random hosts of the own domain and one of each other domain. It includes leaving and
// suspect hosts, since after a network partition or a pause there may be no others.
func (node *Node) SamplePeers(n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, d := range node.domains() {
		count := 1
		if d == node.Domain {
			count = n
		}
		out = append(out, node.samplePeers(node.filterIDs(d, anyStatus), count)...)
	}
	return out
}

// sampleBehind returns up to n random hosts of a domain that are not known to have the number in force.
func (node *Node) sampleBehind(d yuccahinge.DomainID, n int) []yuccahinge.HostID {
	ids := node.filterIDs(d, isLive)
	ids = slices.DeleteFunc(ids, func(id string) bool { return node.peerNumbers[yuccahinge.HostID(id)] >= node.Number() })
	return node.samplePeers(ids, n)
}

// samplePeers returns up to n random ids, excluding this host's.
func (node *Node) samplePeers(ids []string, n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range ids {
		if id != string(node.Self) {
			out = append(out, yuccahinge.HostID(id))
		}
	}
	node.random().Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// liveIDs returns the ids of the live hosts of a domain, in the order of the members.
func (node *Node) liveIDs(d yuccahinge.DomainID) []string { return node.filterIDs(d, isLive) }

func (node *Node) filterIDs(d yuccahinge.DomainID, match func(yuccahinge.MemberStatus) bool) []string {
	var out []string
	for _, m := range node.members {
		if m.Domain == d && match(m.Status) {
			out = append(out, m.ID)
		}
	}
	return out
}

func isLive(status yuccahinge.MemberStatus) bool { return status == yuccahinge.StatusLive }

func anyStatus(yuccahinge.MemberStatus) bool { return true }

func (node *Node) domains() []yuccahinge.DomainID {
	var out []yuccahinge.DomainID
	for _, m := range node.members {
		out = append(out, m.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MostRecentPeer returns the member with the highest known number, and that number. Both are zero if none is known.
func (node *Node) MostRecentPeer() (yuccahinge.HostID, yuccahinge.TicketNumber) {
	var best yuccahinge.HostID
	var number yuccahinge.TicketNumber
	for _, m := range node.members {
		id := yuccahinge.HostID(m.ID)
		if n := node.peerNumbers[id]; id != node.Self && n > number {
			best, number = id, n
		}
	}
	return best, number
}
