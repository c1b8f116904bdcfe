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

// Some returns up to n random hosts of the own domain and one of each other domain.
func (s *Spread) Some(n int) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, d := range s.domains() {
		if d == s.Domain {
			out = append(out, s.draw(d, n, func(yuccahinge.HostID) bool { return true })...)
		} else {
			out = append(out, s.draw(d, 1, func(yuccahinge.HostID) bool { return true })...)
		}
	}
	return out
}

// sample returns up to n random hosts of a domain that are not known to have the number in force.
func (s *Spread) sample(d yuccahinge.DomainID, n int) []yuccahinge.HostID {
	return s.draw(d, n, func(id yuccahinge.HostID) bool { return s.known[id] < s.Number() })
}

func (s *Spread) draw(d yuccahinge.DomainID, n int, fits func(yuccahinge.HostID) bool) []yuccahinge.HostID {
	var out []yuccahinge.HostID
	for _, id := range s.idsOf(d) {
		host := yuccahinge.HostID(id)
		if host != s.Self && fits(host) {
			out = append(out, host)
		}
	}
	s.random().Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// idsOf returns the live hosts of a domain in the order of their ids.
func (s *Spread) idsOf(d yuccahinge.DomainID) []string {
	var out []string
	for _, m := range s.members {
		if m.Domain == d && m.Status == yuccahinge.StatusLive {
			out = append(out, m.ID)
		}
	}
	return out
}

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
