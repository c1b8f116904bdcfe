package split

import (
	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/rendez"
)

// maxDomains is the number of failure domains that are considered for one shard.
const maxDomains = 6

// layout holds the shards without a replica in this failure domain, and the domains that serve them.
type layout struct {
	domains     []domain
	undelegated []remoteShard
}

// domain is a failure domain that serves some of the shards.
type domain struct {
	id    yuccahinge.DomainID
	tried bool // whether Parts has requested a host there
}

// remoteShard is a shard and the failure domains of its replicas, without duplicates, as positions in layout.domains.
type remoteShard struct {
	shard       int
	domains     [maxDomains]int
	domainCount int
}

func (s *remoteShard) addDomain(d int) {
	if s.domainCount < maxDomains && !s.isServedBy(d) {
		s.domains[s.domainCount] = d
		s.domainCount++
	}
}

func (s *remoteShard) isServedBy(d int) bool {
	for _, other := range s.domains[:s.domainCount] {
		if other == d {
			return true
		}
	}
	return false
}

// domainIndex returns the position of a failure domain in domains and appends it if it is new.
func (l *layout) domainIndex(id yuccahinge.DomainID) int {
	for i := range l.domains {
		if l.domains[i].id == id {
			return i
		}
	}
	l.domains = append(l.domains, domain{id: id})
	return len(l.domains) - 1
}

// mostShards returns the untried failure domain that serves most of the undelegated shards, and their number.
func (l *layout) mostShards(key string) (best, most int) {
	counts := make([]int, len(l.domains))
	for i := range l.undelegated {
		for _, d := range l.undelegated[i].domains[:l.undelegated[i].domainCount] {
			counts[d]++
		}
	}
	for d, n := range counts {
		if l.domains[d].tried || n < most {
			continue
		}
		if n > most || rendez.Weight(key, string(l.domains[d].id)) > rendez.Weight(key, string(l.domains[best].id)) {
			best, most = d, n
		}
	}
	return best, most
}

// takeShards removes the shards that a failure domain serves from the undelegated ones and returns them.
func (l *layout) takeShards(d int) []int {
	var taken []int
	kept := l.undelegated[:0]
	for _, s := range l.undelegated {
		if s.isServedBy(d) {
			taken = append(taken, s.shard)
		} else {
			kept = append(kept, s)
		}
	}
	l.undelegated = kept
	return taken
}
