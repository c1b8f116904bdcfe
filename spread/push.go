package spread

import (
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// Fan-out of a new state.
const (
	// nearPeers hosts of the own domain are told by every host.
	nearPeers = 3
	// farPeers hosts of each other domain are told by farSenders hosts of this one.
	farPeers   = 1
	farSenders = 3
	// inlineBytes is the size up to which a ticket goes without asking whether it is lacked.
	inlineBytes = 1024
)

// push tells some hosts of the state in force.
func (s *Spread) push() []Decision {
	parcel := s.inline()
	var out []Decision
	for _, peer := range s.targets() {
		d := Decision{Kind: Exchange, Peer: peer, Number: s.Number()}
		if parcel != nil {
			d.Kind = Deliver
			d.Parcel = parcel
		}
		out = append(out, d)
	}
	return out
}

// inline returns the newest ticket when it is small, or nil.
func (s *Spread) inline() *Parcel {
	if len(s.ring) == 0 {
		return nil
	}
	last := s.ring[len(s.ring)-1]
	if last.size > inlineBytes || last.push.Ticket.Number != s.Number() {
		return nil
	}
	return &Parcel{Pushes: []Push{last.push}}
}

// targets returns random hosts that are not known to have the number in force.
func (s *Spread) targets() []yuccahinge.HostID {
	out := s.sample(s.Domain, nearPeers)
	if !s.sendsFar() {
		return out
	}
	for _, d := range s.domains() {
		if d != s.Domain {
			out = append(out, s.sample(d, farPeers)...)
		}
	}
	return out
}

// sendsFar spreads the work of telling other domains over the hosts, ticket by ticket.
func (s *Spread) sendsFar() bool {
	order := rendez.Order(fmt.Sprint("far/", s.Number()), s.idsOf(s.Domain))
	at := slices.Index(order, string(s.Self))
	return at < farSenders
}

// Some returns up to n random hosts of the own domain and one of each other domain. Hosts that are leaving or
// suspect are among them, since after a cut or a pause there may be no others.
func (s *Spread) Some(n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, d := range s.domains() {
		want := 1
		if d == s.Domain {
			want = n
		}
		out = append(out, s.draw(s.hostsOf(d, anyStatus), want)...)
	}
	return out
}

// sample returns up to n random hosts of a domain that are not known to have the number in force.
func (s *Spread) sample(d yuccahinge.DomainID, n int) []yuccahinge.HostID {
	ids := s.hostsOf(d, isLive)
	ids = slices.DeleteFunc(ids, func(id string) bool { return s.known[yuccahinge.HostID(id)] >= s.Number() })
	return s.draw(ids, n)
}

// draw returns up to n of the ids at random, without this host's.
func (s *Spread) draw(ids []string, n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range ids {
		if id != string(s.Self) {
			out = append(out, yuccahinge.HostID(id))
		}
	}
	s.random().Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// idsOf returns the live hosts of a domain in the order of their ids.
func (s *Spread) idsOf(d yuccahinge.DomainID) []string { return s.hostsOf(d, isLive) }

func (s *Spread) hostsOf(d yuccahinge.DomainID, fits func(yuccahinge.MemberStatus) bool) []string {
	var out []string
	for _, m := range s.members {
		if m.Domain == d && fits(m.Status) {
			out = append(out, m.ID)
		}
	}
	return out
}

func isLive(status yuccahinge.MemberStatus) bool { return status == yuccahinge.StatusLive }

func anyStatus(yuccahinge.MemberStatus) bool { return true }

func (s *Spread) domains() []yuccahinge.DomainID {
	var out []yuccahinge.DomainID
	for _, m := range s.members {
		out = append(out, m.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Best returns the member with the highest number heard of, and that number.
func (s *Spread) Best() (yuccahinge.HostID, yuccahinge.TicketNumber) {
	var best yuccahinge.HostID
	var number yuccahinge.TicketNumber
	for _, m := range s.members {
		id := yuccahinge.HostID(m.ID)
		if n := s.known[id]; id != s.Self && n > number {
			best, number = id, n
		}
	}
	return best, number
}
