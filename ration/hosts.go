package ration

import (
	"cmp"
	"math"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// keepHostMs is how long the part of a lost host in a maximum rate is kept: it may be cut off from this host and still call
	// searchers.
	keepHostMs = 30 * yuccahinge.Second
	// keepWarmupHostMs is the same for warm-up rates. It is longer since a searcher that gets too much while it is cold crashes.
	keepWarmupHostMs = 300 * yuccahinge.Second
	// settleMs is the time after the first SetHosts in which this host may not know all others. Meanwhile it assumes at
	// least minAssumedHosts hosts of its own weight.
	settleMs        = 5 * yuccahinge.Second
	minAssumedHosts = 8
	// localWeight multiplies the weight of the hosts in the searcher's failure domain, and strongWeight that of strong
	// hosts for a shard. Most calls come from these.
	localWeight  = 16.0
	strongWeight = 256.0
	// The number of hosts with a part is baseHolders and holdersPerRate for each request per second of the maximum: in any
	// window, each of them may add a whole request to the rate.
	baseHolders    = 3
	holdersPerRate = 1.5
	// minHolderRate is the rate, in requests per second, below which a host has no part.
	minHolderRate = 0.05
)

// Host is an entry host that calls searchers.
type Host struct {
	ID     yuccahinge.HostID
	Domain yuccahinge.DomainID
	// Strong reports whether the host runs requests over many shards for weaker hosts.
	Strong bool
}

// searcherKind is what the weights of the hosts depend on: the searcher's failure domain, and whether its service is a
// shard.
type searcherKind struct {
	domain  yuccahinge.DomainID
	isShard bool
}

// weighted is a host with its weight for the searchers of a kind.
type weighted struct {
	id     yuccahinge.HostID
	weight float64
	// sum is the weight of this host and of those before it in the order.
	sum float64
}

// share returns the host's share of the weights up to it.
func (w *weighted) share() float64 { return w.weight / w.sum }

// hostSet holds the hosts that divide the rates. The zero value is empty and ready to use.
type hostSet struct {
	// keepMs is how long lost hosts stay; zero means keepHostMs.
	keepMs    yuccahinge.Millis
	startedAt yuccahinge.Millis
	known     map[yuccahinge.HostID]knownHost
	// version counts the changes of the hosts.
	version int
	// orders caches the hosts by descending weight.
	orders map[searcherKind][]weighted
}

// knownHost is a host and the instant at which it was last among the hosts of SetHosts.
type knownHost struct {
	Host
	lastSeen yuccahinge.Millis
}

// set records the hosts that are known now. Hosts that were known before stay for keepMs.
func (s *hostSet) set(now yuccahinge.Millis, hosts []Host) {
	if s.known == nil {
		s.startedAt = now
		s.known = make(map[yuccahinge.HostID]knownHost, len(hosts))
	}
	changed := false
	for _, h := range hosts {
		changed = changed || s.known[h.ID].Host != h
		s.known[h.ID] = knownHost{h, now}
	}
	keepMs := cmp.Or(s.keepMs, keepHostMs)
	for id, h := range s.known {
		if now >= h.lastSeen+keepMs {
			delete(s.known, id)
			changed = true
		}
	}
	if changed {
		s.version++
		s.orders = nil
	}
}

// settled reports whether this host has had the time to learn of all others.
func (s *hostSet) settled(now yuccahinge.Millis) bool { return now >= s.startedAt+settleMs }

// part returns a host's part of a rate for a searcher of a kind.
func (s *hostSet) part(now yuccahinge.Millis, self yuccahinge.HostID, kind searcherKind, rate yuccahinge.RequestRate) part {
	d := division{most: baseHolders + math.Floor(holdersPerRate*float64(rate)), perSecond: max(float64(rate), minRate)}
	if !s.settled(now) {
		d.assumedHosts = minAssumedHosts
	}
	return s.divide(self, kind, d)
}

// division is a rate that is divided among hosts.
type division struct {
	most      float64 // the largest number of hosts with a part
	perSecond float64
	// assumedHosts is the number of hosts of its own weight that a host assumes at least.
	assumedHosts float64
}

// divide returns a host's part of a division.
func (s *hostSet) divide(self yuccahinge.HostID, kind searcherKind, d division) part {
	holders := s.order(kind)
	holders = holders[:int(min(d.most, float64(len(holders))))]
	for len(holders) > 1 && holders[len(holders)-1].share()*d.perSecond < minHolderRate {
		holders = holders[:len(holders)-1]
	}
	i := slices.IndexFunc(holders, func(w weighted) bool { return w.id == self })
	if i < 0 {
		return part{}
	}
	total := max(holders[len(holders)-1].sum, d.assumedHosts*holders[i].weight)
	share := holders[i].weight / total
	return part{
		perSecond: share * d.perSecond,
		burst:     1 + share*(d.most-float64(len(holders))),
	}
}

// order returns the hosts by descending weight for the searchers of a kind, equal weights by a hash of the host. The hash
// does not depend on the searcher, so that the same hosts can call all limited searchers that a request needs.
func (s *hostSet) order(kind searcherKind) []weighted {
	if out, ok := s.orders[kind]; ok {
		return out
	}
	out := make([]weighted, 0, len(s.known))
	for id, h := range s.known {
		out = append(out, weighted{id: id, weight: h.weight(kind)})
	}
	slices.SortFunc(out, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(hashOf(b.id), hashOf(a.id)), cmp.Compare(a.id, b.id))
	})
	sum := 0.0
	for i := range out {
		sum += out[i].weight
		out[i].sum = sum
	}
	if s.orders == nil {
		s.orders = make(map[searcherKind][]weighted)
	}
	s.orders[kind] = out
	return out
}

func hashOf(id yuccahinge.HostID) uint64 { return rendez.Weight("ration", string(id)) }

func (h *Host) weight(kind searcherKind) float64 {
	w := 1.0
	if h.Domain == kind.domain {
		w *= localWeight
	}
	if kind.isShard && h.Strong {
		w *= strongWeight
	}
	return w
}
