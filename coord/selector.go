// Package coord chooses the entry host that scatters a request: the one that the caller reached, or a stronger one.
//
// The replies of many shards arrive at the same moment. On a host with a slow link or little CPU time they wait for
// longer than the searchers take. A host that is several times stronger gathers them faster and sends back one merged
// reply.
package coord

import (
	"math"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

const (
	// searcherCallMs is the CPU time of one searcher call on a whole core, in milliseconds, with all its overhead.
	searcherCallMs = 0.06
	// replyBits is the size in bits of a searcher's reply, which has a few hundred bytes, with its headers.
	replyBits = 700 * 8
	// hostHopMs is the latency that a call between two hosts of a failure domain adds, in milliseconds.
	hostHopMs = 3.0
	// minGainMs is the least time saved, after hostHopMs, for which a request is forwarded, in milliseconds.
	minGainMs = 3.0
	// similarCostRatio is the ratio of costs up to which two hosts count as equally strong.
	similarCostRatio = 2.0
	// maxHelpers is the largest number of equally strong hosts among which requests are spread.
	maxHelpers = 8
)

// Selector chooses hosts for scattered requests. Set Self before the first use; the methods are safe for concurrent use.
type Selector struct {
	Self yuccahinge.Member

	mu sync.Mutex
	// failedHosts holds the hosts that did not answer.
	failedHosts backoffs[yuccahinge.HostID]
	// silentDomains holds the failure domains of which no host is chosen, since one of them did not answer in time.
	silentDomains backoffs[yuccahinge.DomainID]
}

// Choose returns the host of this failure domain to which a request over so many shards is forwarded, or false if this
// host runs it itself. The key spreads requests over hosts of equal strength. Hosts in tried are not chosen.
func (s *Selector) Choose(now yuccahinge.Millis, members []yuccahinge.Member, shards int, key string, tried ...yuccahinge.HostID) (yuccahinge.Member, bool) {
	own := cost(&s.Self, shards)
	var helpers []yuccahinge.Member
	for _, m := range members {
		if s.isFasterHelper(now, &m, own-cost(&m, shards), tried) {
			helpers = append(helpers, m)
		}
	}
	if len(helpers) == 0 {
		return yuccahinge.Member{}, false
	}
	return pick(helpers, key), true
}

// isFasterHelper reports whether another host of this failure domain can take the request and saves enough time by it.
// The gain is the difference in cost in milliseconds.
func (s *Selector) isFasterHelper(now yuccahinge.Millis, m *yuccahinge.Member, gain float64, tried []yuccahinge.HostID) bool {
	id := yuccahinge.HostID(m.ID)
	if m.ID == s.Self.ID || m.Domain != s.Self.Domain || m.Status != yuccahinge.StatusLive || gain < hostHopMs+minGainMs {
		return false
	}
	for _, t := range tried {
		if t == id {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedHosts.active(now, id)
}

// cost returns the CPU and transfer time that a request takes on a host, in milliseconds. It leaves out what is unknown,
// so that a host that reports neither cores nor link speed counts as strong.
func cost(m *yuccahinge.Member, shards int) float64 {
	total := 0.0
	if m.Cores > 0 {
		total += searcherCallMs / m.Cores
	}
	if m.LinkMbps > 0 {
		total += replyBits / (m.LinkMbps * 1000)
	}
	return total * float64(shards)
}

// pick chooses one of the strongest hosts by the key.
func pick(helpers []yuccahinge.Member, key string) yuccahinge.Member {
	best := math.Inf(1)
	for i := range helpers {
		best = min(best, cost(&helpers[i], 1))
	}
	byID := make(map[string]yuccahinge.Member)
	var ids []string
	for _, m := range helpers {
		if cost(&m, 1) <= similarCostRatio*best {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	// All requests share the same few hosts, so that the connections to these stay open.
	ids = rendez.Order("helpers", ids)
	ids = ids[:min(len(ids), maxHelpers)]
	return byID[rendez.Order(key, ids)[0]]
}

// RemoteHost returns a host of another failure domain that calls the searchers there, or false if none is available.
func (s *Selector) RemoteHost(now yuccahinge.Millis, members []yuccahinge.Member, domain yuccahinge.DomainID, key string) (yuccahinge.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentDomains.active(now, domain) {
		return yuccahinge.Member{}, false
	}
	var hosts []yuccahinge.Member
	for _, m := range members {
		if m.Domain == domain && m.Status == yuccahinge.StatusLive && m.PeerAddr != "" && !s.failedHosts.active(now, yuccahinge.HostID(m.ID)) {
			hosts = append(hosts, m)
		}
	}
	if len(hosts) == 0 {
		return yuccahinge.Member{}, false
	}
	return pick(hosts, key), true
}

// RecordSilence records that a host of a failure domain did not answer in time. RemoteHost then returns no host there
// for a while: a cut of the domain is more likely than one frozen host, and each other host would cost a request its timeout.
func (s *Selector) RecordSilence(now yuccahinge.Millis, domain yuccahinge.DomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentDomains.add(now, domain)
}

// RecordReachable records that a failure domain can be reached, which ends the effect of RecordSilence.
func (s *Selector) RecordReachable(domain yuccahinge.DomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silentDomains, domain)
}

// CountStrong returns the number of hosts that are strong enough to run requests over many shards for others, and whether
// this host is one of them. If all hosts are equally strong, all of them count.
func (s *Selector) CountStrong(members []yuccahinge.Member) (n int, self bool) {
	most := s.maxStrongCost(members)
	for i := range members {
		if cost(&members[i], 1) <= most {
			n++
		}
	}
	return max(n, 1), cost(&s.Self, 1) <= most
}

// Strong returns for each of the members whether CountStrong counts it.
func (s *Selector) Strong(members []yuccahinge.Member) []bool {
	most := s.maxStrongCost(members)
	out := make([]bool, len(members))
	for i := range members {
		out[i] = cost(&members[i], 1) <= most
	}
	return out
}

// maxStrongCost returns the cost of a call up to which a host counts as strong.
func (s *Selector) maxStrongCost(members []yuccahinge.Member) float64 {
	best := cost(&s.Self, 1)
	for i := range members {
		best = min(best, cost(&members[i], 1))
	}
	return similarCostRatio * best
}

// RecordFailure records that a host did not answer. It is not chosen for a while.
func (s *Selector) RecordFailure(now yuccahinge.Millis, id yuccahinge.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedHosts.add(now, id)
}

// RecordAnswer records that a host answered, which ends the effect of RecordFailure.
func (s *Selector) RecordAnswer(id yuccahinge.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedHosts, id)
}
