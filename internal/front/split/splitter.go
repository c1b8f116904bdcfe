// Package split chooses the shards of a request that are delegated to hosts of other failure domains, and these hosts.
//
// A shard without a replica in this failure domain costs a call between domains. A host in the domain of the replicas
// queries many such shards itself, so that only one request and one merged reply cross between the domains.
package split

import "github.com/yuccahinge/yuccahinge"

// defaultMinShards is the number of shards from which one call for all of them is faster than a call for each.
const defaultMinShards = 3

// Splitter chooses the shards of requests that are delegated to other hosts. Set Domain before the first use.
type Splitter struct {
	// Domain is this host's failure domain.
	Domain yuccahinge.DomainID
	// MinShards is the least number of shards that are delegated to another host; zero means 3.
	MinShards int
}

// Part holds the shards that are delegated to one host.
type Part struct {
	Host yuccahinge.Member
	// Shards are positions in the index, in ascending order.
	Shards []int
}

// Parts returns the shards that other hosts query; this host queries those that are in no part. The function host
// returns a host of a failure domain, or false if none is available. The key decides between domains that serve equally
// many shards.
func (s *Splitter) Parts(ix *yuccahinge.Index, key string, host func(yuccahinge.DomainID) (yuccahinge.Member, bool)) []Part {
	l := s.remoteLayout(ix)
	var parts []Part
	for len(l.undelegated) >= s.minShards() {
		d, n := l.mostShards(key)
		if n < s.minShards() {
			break
		}
		l.domains[d].tried = true
		h, ok := host(l.domains[d].id)
		if !ok {
			continue
		}
		parts = append(parts, Part{Host: h, Shards: l.takeShards(d)})
	}
	return parts
}

// remoteLayout returns the shards without a replica in this failure domain.
func (s *Splitter) remoteLayout(ix *yuccahinge.Index) *layout {
	l := &layout{}
	for i := range ix.Shards {
		remote := remoteShard{shard: i}
		isLocal := false
		for _, id := range ix.Shards[i].Searchers {
			d := ix.Searchers[id].Domain
			if isLocal = d == s.Domain; isLocal {
				break
			}
			remote.addDomain(l.domainIndex(d))
		}
		if !isLocal && remote.domainCount > 0 {
			l.undelegated = append(l.undelegated, remote)
		}
	}
	return l
}

func (s *Splitter) minShards() int {
	if s.MinShards > 0 {
		return s.MinShards
	}
	return defaultMinShards
}
